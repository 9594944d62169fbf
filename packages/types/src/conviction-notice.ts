/** Notifies that a request crashed an engine for the second time and is quarantined. */
export interface ConvictionNotice {
  readonly fingerprint: string;
  /** End of the quarantine, milliseconds since the epoch. */
  readonly untilMs: number;
}
