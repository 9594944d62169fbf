/** What one call keeps of a budget. */
export interface ByteReservation {
  /** Reserves memory for `bytes` bytes; false when the budget is used up. */
  readonly reserveBytes: (bytes: number) => boolean;
  /** Releases memory for `bytes` reserved bytes. */
  readonly releaseBytes: (bytes: number) => void;
  /** Releases everything, and reserves nothing from now on. */
  readonly close: () => void;
}
