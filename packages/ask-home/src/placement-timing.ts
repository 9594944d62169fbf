/** Timeouts and intervals of placement requests, milliseconds. */
export const PLACEMENT_TIMING = {
  /** A host decides a request itself after this time without an answer. Covers the round trip and a short delay at a busy home host. */
  answerTimeoutMs: 30,
  /** Maximum time that a placement request is queued at the home host. The host then asks again. */
  maxQueueMs: 250,
  /** Additional time after `maxQueueMs` until the answer to a queued placement request counts as lost. */
  queuedAnswerSlackMs: 60,
  /** Interval between checks for free capacity: about the time between the ends of two calls. */
  capacityPollMs: 15,
  /** Time for which a home host that did not answer or is not ready is not asked. */
  unavailableMs: 250,
} as const;
