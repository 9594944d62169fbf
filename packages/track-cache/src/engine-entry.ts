/** The state of one engine in the directory. */
export interface EngineEntry {
  readonly name: string;
  /** Index of the bit that stands for the engine in the bit sets. */
  readonly index: number;
  /** Sequence number of the last event, or of the last resynchronisation. */
  lastSeq: number;
  /** Time of the last event, run or resynchronisation, in monotonic milliseconds. */
  lastSeenMs: number;
  /** Moving average of the share of assumed pieces that events confirmed, 0 to 1; 1 for a new engine. */
  confirmationRate: number;
  /** Assumed pieces in the order in which they expire; those confirmed meanwhile are still included. */
  assumedPieces: { readonly scope: string; readonly chain: string; readonly untilMs: number }[];
}
