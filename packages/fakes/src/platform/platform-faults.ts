/** Fault switches of the fake platform. Counters hold the number of calls still to be hit; -1 hits every call. */
export interface PlatformFaults {
  /** Every call is answered with 503. */
  readonly down: boolean;
  /** Every connection is closed without an answer. */
  readonly unreachable: boolean;
  /** No call is answered; connections stay open. */
  readonly silent: boolean;
  /** Delay before each answer, milliseconds. */
  readonly slowMs: number;
  /** Writes and deletions whose answer is lost after the change took effect. */
  readonly loseAnswerAfter: number;
  /** Writes and deletions that are lost before the change took effect. */
  readonly loseAnswerBefore: number;
  /** Kind to which the two loss switches are limited; empty for all kinds. */
  readonly lossKind: string;
  /** Watches never answer, not even at the end of their waiting time. */
  readonly muteWatch: boolean;
  /** The host list stays as it was when the switch was set. */
  readonly staleHosts: boolean;
}
