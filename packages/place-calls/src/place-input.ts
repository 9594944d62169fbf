import type { EngineCandidate } from './engine-candidate.js';

/** What the choice of an engine depends on. */
export interface PlaceInput {
  /** At least one. */
  readonly candidates: readonly EngineCandidate[];
  /** Equal engines of a failure domain rank by this key, so that calls with the same pieces meet at one of them. */
  readonly homeKey: string;
  readonly inputTokens: number;
  /** Prompt and expected output, tokens. */
  readonly needTokens: number;
  readonly ownDomain: string;
  /** Bytes of the call and of its expected answer. */
  readonly bytes: number;
  /** Cost of an engine with outdated weights, as milliseconds of delay. */
  readonly outdatedMs: number;
  readonly rates: PlaceRates;
}

/** Speeds of engines. */
interface PlaceRates {
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly readPerMs: number;
  /** Time for which a call takes a slot, milliseconds. */
  readonly runMs: number;
  /** Tokens of KV cache that a link carries in a millisecond. */
  readonly fetchPerMs: number;
}
