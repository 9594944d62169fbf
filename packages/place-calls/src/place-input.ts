import type { EngineCandidate } from './engine-candidate.js';

/** What the choice of an engine depends on. */
export interface PlaceInput {
  /** At least one. */
  readonly candidates: readonly EngineCandidate[];
  /** Engines rank by this key where nobody has the prompt cached, so that all hosts choose alike. */
  readonly homeKey: string;
  readonly inputTokens: number;
  /** Tokens of the pieces that other calls share. */
  readonly sharedTokens: number;
  readonly ownDomain: string;
  /** Cost of an engine with outdated weights, as milliseconds of delay. */
  readonly outdatedMs: number;
  readonly rates: PlaceRates;
}

/** Speeds of engines. */
interface PlaceRates {
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly readPerMs: number;
  /** Tokens of KV cache that a link carries in a millisecond. */
  readonly fetchPerMs: number;
}
