import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { EngineCandidate } from './engine-candidate.js';
import type { PlacementInput } from './placement-input.js';
import type { ScoreTerms } from './score-terms.js';
import type { ScoredPlacement } from './scored-placement.js';
import { computeScore } from './compute-score.js';

/** Penalty for a failure share of 1, milliseconds of delay: about the time that one failed attempt costs. */
const FAILURE_PENALTY_MS = 6000;
/** Penalty for a silent engine, milliseconds of delay: the time after which an attempt there is abandoned. */
const SILENCE_PENALTY_MS = 4000;
/** Penalty for an engine of another failure domain, milliseconds of delay. */
const REMOTE_DOMAIN_MS = 3;
/** Further penalty for each KiB sent to another failure domain, milliseconds of delay: traffic between domains is paid for. */
const REMOTE_DOMAIN_MS_PER_KIB = 2;
const BYTES_PER_KIB = 1024;
/** Factor by which the duration of a fetch counts in the score, because it takes link and memory capacity from other calls. */
const FETCH_COST_FACTOR = 2;
/** Time from the start of a fetch to its first byte, milliseconds. */
const FETCH_LATENCY_MS = 5;
/** Penalty for every engine but the first in rendezvous order, milliseconds of delay: less than the prefill of a short prompt. */
const NOT_FIRST_PENALTY_MS = 8;
/** Share of its memory above which an engine preempts calls. */
const PREEMPTION_SHARE = 0.8;
/** Penalty in milliseconds of delay per unit by which the memory share exceeds `PREEMPTION_SHARE`. */
const PREEMPTION_PENALTY_MS = 4000;
/**
 * Penalty for an engine whose memory or slots are full, milliseconds of delay. Below that it is proportional to the larger share, which
 * spreads calls before either limit is reached.
 */
const UTILIZATION_PENALTY_MS = 60;

/**
 * Computes the expected delay of a call at each engine: queue, slots, memory pressure, prefill of uncached tokens, and fetches of cached
 * ones. Queue and prefill take longer at an engine that is slow. With short queues cache reuse decides, with long ones the queue, and
 * near their limits slots and memory. Calls with a popular prompt are spread as soon as the engine that has it cached is full.
 */
export function rankEngines(input: PlacementInput): readonly ScoredPlacement[] {
  const { candidates, inputTokens, neededTokens, rates } = input;
  const remoteDomainMs = REMOTE_DOMAIN_MS + (input.bytes / BYTES_PER_KIB) * REMOTE_DOMAIN_MS_PER_KIB;
  const ranked = candidates
    .map((engine) => ({
      engine,
      isLocal: engine.failureDomain === input.ownDomain,
      weight: computeRendezvousWeight(input.affinityKey, engine.id),
    }))
    .sort((a, b) => Number(b.isLocal) - Number(a.isLocal) || b.weight - a.weight);

  const computePlacement = (engine: EngineCandidate, rank: number): ScoredPlacement => {
    const { localTokens, fetchTokens, fetchSlowdown } = engine;
    const fetchMs =
      fetchTokens > 0 ? FETCH_LATENCY_MS + (fetchTokens * fetchSlowdown) / rates.fetchTokensPerMs : 0;
    const uncachedTokens = Math.max(0, inputTokens - localTokens - fetchTokens);
    // Calls are assumed to end evenly spread over a run, so each call queued ahead waits for `runMs / slots`.
    const slotWaitMs = (Math.max(0, engine.calls + 1 - engine.slots) * rates.runMs) / engine.slots;
    const slowness = engine.slowness ?? 1;
    const queueMs = (engine.waitMs + slotWaitMs) * slowness;
    const prefillMs = (uncachedTokens / rates.prefillTokensPerMs) * slowness;
    const expectedMs = queueMs + fetchMs + prefillMs;
    const slotShare = Math.min(1, (engine.calls + 1) / engine.slots);
    const memoryShare = (engine.heldTokens + neededTokens) / engine.capacityTokens;
    const terms: ScoreTerms = {
      queueMs,
      prefillMs,
      fetchMs: fetchMs * FETCH_COST_FACTOR,
      notFirstMs: rank === 0 ? 0 : NOT_FIRST_PENALTY_MS,
      utilizationMs: Math.max(memoryShare, slotShare) * UTILIZATION_PENALTY_MS,
      preemptionMs: Math.max(0, memoryShare - PREEMPTION_SHARE) * PREEMPTION_PENALTY_MS,
      failureMs: engine.failureShare * FAILURE_PENALTY_MS,
      silenceMs: engine.isSilent ? SILENCE_PENALTY_MS : 0,
      outdatedMs: engine.isOutdated ? input.outdatedPenaltyMs : 0,
      remoteDomainMs: engine.failureDomain === input.ownDomain ? 0 : remoteDomainMs,
    };
    const score = computeScore(terms);
    return { id: engine.id, expectedMs, queueMs, uncachedTokens, memoryShare, slowness, terms, score };
  };
  return ranked.map(({ engine }, rank) => computePlacement(engine, rank));
}
