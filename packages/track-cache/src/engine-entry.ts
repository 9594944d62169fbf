/** What the directory keeps of one engine. */
export interface EngineEntry {
  readonly name: string;
  /** Position in the bit sets. */
  readonly index: number;
  lastSeq: number;
  lastSeenMs: number;
  /** Share of the assumed pieces that events confirmed, averaged over the last ones; 1 at first. */
  trust: number;
  /** Assumed pieces in the order in which they expire. */
  assumptions: { readonly scope: string; readonly chain: string; readonly untilMs: number }[];
}
