/** Bodies of the error responses that the host itself creates, by HTTP status. 503 states that the call has not run. */
export const ERROR_TEXTS = {
  400: 'The request is malformed.',
  401: 'The key is unknown.',
  404: 'No route matches.',
  413: 'The body is too long.',
  431: 'The header is too long.',
  502: 'The backend server gave no whole answer. The call may have run.',
  503: 'The call has not run. Come back later.',
  504: 'The time for the call is over. It may have run.',
  505: 'Streams need HTTP/1.1. The call has not run.',
} as const;
