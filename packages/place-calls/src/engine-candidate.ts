/** An engine that may get a call, with its state as known to this host. */
export interface EngineCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Time for which the engine prefills prompts queued before a new one, milliseconds. */
  readonly waitMs: number;
  /** Factor by which work takes longer than usual at the engine; 1 when unknown. */
  readonly slowness?: number;
  /** Calls of all hosts that the engine runs or has queued. */
  readonly calls: number;
  /** Calls that the engine runs concurrently; further ones are queued. */
  readonly slots: number;
  /** Tokens of the prompt's prefix that are in the engine's own cache. */
  readonly localTokens: number;
  /** Further tokens that the engine can fetch from other engines or stores. */
  readonly fetchTokens: number;
  /** Factor by which the fetch takes longer than on idle links, 1 or more. */
  readonly fetchSlowdown: number;
  /** Tokens that running calls hold in the engine's memory. */
  readonly heldTokens: number;
  /** Size of the engine's memory, tokens. */
  readonly capacityTokens: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Calls are in flight, and nothing was received from the engine for longer than the silence limit. */
  readonly isSilent: boolean;
  /** The engine's weights are older than the newest published version. */
  readonly isOutdated: boolean;
}
