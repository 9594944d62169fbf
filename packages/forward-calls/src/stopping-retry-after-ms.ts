/** Retry-After of a call that a stopping host did not send, in milliseconds: other hosts take it at once. */
export const STOPPING_RETRY_AFTER_MS = 50;
