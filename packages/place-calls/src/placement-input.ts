import type { EngineCandidate } from './engine-candidate.js';

/** What the choice of an engine depends on. */
export interface PlacementInput {
  /** At least one. */
  readonly candidates: readonly EngineCandidate[];
  /** Rendezvous key that orders equal engines of a failure domain, so that calls with the same pieces are sent to one of them. */
  readonly affinityKey: string;
  readonly inputTokens: number;
  /** Memory that the call needs for its prompt and expected output, tokens. */
  readonly neededTokens: number;
  /** Failure domain of the host that has the call. */
  readonly ownDomain: string;
  /** Bytes of the call and of its expected answer. */
  readonly bytes: number;
  /** Penalty for an engine with outdated weights, as milliseconds of delay. */
  readonly outdatedPenaltyMs: number;
  readonly rates: PlaceRates;
}

/** Rates of the engines of a service. */
interface PlaceRates {
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Time for which a call occupies a slot, milliseconds. */
  readonly runMs: number;
  /** Tokens of KV cache that an idle link carries per millisecond. */
  readonly fetchTokensPerMs: number;
}
