/**
 * HTTP statuses that tell a caller that the call has not run. They are passed on only when the backend server states so in a header.
 */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
