/** Exchange of limits with other hosts. */
export interface LimitSharing {
  /** Returns the monotonic time in milliseconds of a statement that was received with an age of `ageMs`. */
  readonly computeStatedMs: (ageMs: number) => number;
  /** Sends the limits soon, and then at intervals while one is in force. */
  readonly sendSoon: () => void;
  readonly close: () => void;
}
