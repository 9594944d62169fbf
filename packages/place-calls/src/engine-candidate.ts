/** An engine that may take a call. */
export interface EngineCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Time until the engine begins with a new prompt, milliseconds. */
  readonly waitMs: number;
  /** Tokens of this prompt's beginning that are in the engine's cache. */
  readonly cachedTokens: number;
  /** Share of the engine's memory that running calls hold, 0 and more. */
  readonly memoryShare: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Calls are in flight and nothing was received for too long. */
  readonly isSilent: boolean;
  /** The weights are older than the newest named ones. */
  readonly isOutdated: boolean;
}
