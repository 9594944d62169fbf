/** Kinds of calls by whether they may be sent again. */
export const CALL_KINDS = {
  /** May be sent again at any time. */
  idempotent: 'idempotent',
  /** Must not be sent again once it may have run. */
  nonIdempotent: 'non-idempotent',
  /** Its route states whether it may be resumed. */
  stream: 'stream',
} as const;
