/** What a duty takes on one node. */
export interface Cost {
  /** Share of a core. */
  readonly core: number;
  /** Bytes per second: messages at their sender, polls in both directions. */
  readonly bytes: number;
  /** Bytes of memory. */
  readonly memory: number;
}
