/** An engine that may take a call. */
export interface EngineCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Time until the engine begins with a new prompt, milliseconds. */
  readonly waitMs: number;
  /** Calls that the engine runs or has waiting, of all hosts. */
  readonly calls: number;
  /** Calls that it runs at once; further ones wait. */
  readonly slots: number;
  /** Tokens of this prompt's beginning that are in the engine's cache. */
  readonly localTokens: number;
  /** Further tokens that the engine can fetch. */
  readonly fetchTokens: number;
  /** How many times longer that takes than on idle links. */
  readonly fetchSlowdown: number;
  /** Tokens in the engine's memory for running calls. */
  readonly heldTokens: number;
  readonly capacityTokens: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Calls are in flight and nothing was received for too long. */
  readonly isSilent: boolean;
  /** The weights are older than the newest named ones. */
  readonly isOutdated: boolean;
}
