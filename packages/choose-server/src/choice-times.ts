/** Times shared by the choices for engines and for plain services, milliseconds. */
export const CHOICE_TIMES = {
  /** A server with calls in flight is treated as silent when nothing was received from it for this time. */
  silentMs: 800,
  /** Retry-After when no server can be chosen: half of the time within which a server whose entry lapsed is back. */
  noServerRetryMs: 1000,
} as const;
