/**
 * Faults of one answer stream. `silent` stops sending, `crossed` sends a token of another request, `duplicated` sends one token
 * twice, `skipped` leaves one out, `truncated` ends without `[DONE]`, `early-done` sends `[DONE]` too early, `cut` destroys the
 * connection and `wrong-version` names another weight version.
 */
export const STREAM_FAULT_KINDS = [
  'silent',
  'crossed',
  'duplicated',
  'skipped',
  'truncated',
  'early-done',
  'cut',
  'wrong-version',
] as const;
