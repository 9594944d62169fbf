/** Why a connection of a caller is closed to make room. Values are labels of metrics. */
export const CLOSE_REASONS = {
  /** No request head has arrived in whole since it was opened, or only ones whose calls were refused. */
  incomplete: 'no whole head',
  /** A request head has arrived, but not the whole body. */
  partial: 'no whole request',
  /** Idle for so long after an answer that callers no longer reuse it. */
  idle: 'idle',
  /** The caller does not read its answer. */
  unread: 'answer not read',
  /** The new connection itself: no other one may be closed. */
  full: 'no room',
} as const;
