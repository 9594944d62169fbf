/** Minimum time left for another attempt, in milliseconds: enough to connect and to run a short call. */
export const MIN_RETRY_TIME_MS = 30;
