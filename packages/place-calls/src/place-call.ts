import { computeWeight } from '@laburnumshift/rank-homes';
import type { EngineCandidate } from './engine-candidate.js';
import type { PlaceInput } from './place-input.js';
import type { Placement } from './placement.js';

/** Delay that a failing engine counts for at a failure share of 1, milliseconds: about one lost attempt. */
const FAILURE_MS = 6000;
/** Delay that a silent engine counts for, milliseconds: the time after which a call is given up there. */
const SILENT_MS = 4000;
/** Delay that another failure domain counts for, milliseconds, and further ones for each kilobyte: its bytes are paid for. */
const DOMAIN_MS = 3;
const DOMAIN_MS_PER_KB = 2;
const BYTES_PER_KB = 1024;
/** A fetch counts this many times its duration: it takes a link and memory from others. */
const FETCH_FACTOR = 2;
/** Wait of a fetch before its first byte, milliseconds. */
const FETCH_START_MS = 5;
/** Delay by which an engine that is not home to the key counts more, milliseconds: below the read of a short prompt. */
const AWAY_MS = 8;
/** Above this share of its memory an engine preempts calls; each further part of 1 counts for so many milliseconds. */
const MEMORY_SHARE = 0.8;
const MEMORY_MS = 4000;
/** Cost of an engine whose memory or slots are full, milliseconds, in proportion before: spreads calls before either binds. */
const FULL_SLOPE_MS = 60;

interface Rated extends Placement {
  readonly score: number;
}

/**
 * Chooses the engine with the least expected delay: its queue, its slots, its memory, reading what nobody has, and fetching
 * what others have. Answers load of all levels: with short queues reuse decides, with long ones the queue, near their limits
 * slots and memory. A prompt that everybody asks for spreads as soon as the engine that has it is full.
 */
export function placeCall(input: PlaceInput): Placement {
  const { candidates, inputTokens, needTokens, rates } = input;
  const domainMs = DOMAIN_MS + (input.bytes / BYTES_PER_KB) * DOMAIN_MS_PER_KB;
  const ranked = candidates
    .map((engine) => ({
      engine,
      isNear: engine.failureDomain === input.ownDomain,
      weight: computeWeight(input.homeKey, engine.id),
    }))
    .sort((a, b) => Number(b.isNear) - Number(a.isNear) || b.weight - a.weight);

  const computeScore = (engine: EngineCandidate, rank: number): Rated => {
    const { localTokens, fetchTokens, fetchSlowdown } = engine;
    const fetchMs = fetchTokens > 0 ? FETCH_START_MS + (fetchTokens * fetchSlowdown) / rates.fetchPerMs : 0;
    const uncachedTokens = Math.max(0, inputTokens - localTokens - fetchTokens);
    // Calls end evenly spread, so each one ahead of this one beyond the slots takes this part of a run.
    const slotWaitMs = (Math.max(0, engine.calls + 1 - engine.slots) * rates.runMs) / engine.slots;
    const queueMs = engine.waitMs + slotWaitMs;
    const expectedMs = queueMs + fetchMs + uncachedTokens / rates.readPerMs;
    const slotShare = Math.min(1, (engine.calls + 1) / engine.slots);
    const memoryShare = (engine.heldTokens + needTokens) / engine.capacityTokens;
    const score =
      expectedMs +
      fetchMs * (FETCH_FACTOR - 1) +
      (rank === 0 ? 0 : AWAY_MS) +
      Math.max(memoryShare, slotShare) * FULL_SLOPE_MS +
      Math.max(0, memoryShare - MEMORY_SHARE) * MEMORY_MS +
      engine.failureShare * FAILURE_MS +
      (engine.isSilent ? SILENT_MS : 0) +
      (engine.isOutdated ? input.outdatedMs : 0) +
      (engine.failureDomain === input.ownDomain ? 0 : domainMs);
    return { id: engine.id, expectedMs, queueMs, uncachedTokens, memoryShare, score };
  };

  const [first, ...others] = ranked.map(({ engine }, rank) => computeScore(engine, rank));
  if (first === undefined) throw new RangeError('no candidate to choose from');
  return others.reduce((a, b) => (b.score < a.score ? b : a), first);
}
