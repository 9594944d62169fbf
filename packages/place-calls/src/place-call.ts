import { computeWeight } from '@laburnumshift/rank-homes';
import type { EngineCandidate } from './engine-candidate.js';
import type { PlaceInput } from './place-input.js';
import type { Placement } from './placement.js';

/** Delay that a failing engine counts for at a failure share of 1, milliseconds: about one lost attempt. */
const FAILURE_MS = 6000;
/** Delay that a silent engine counts for, milliseconds: the time after which a call is given up there. */
const SILENT_MS = 4000;
/** Delay that another failure domain counts for, milliseconds: its bytes are paid for. */
const DOMAIN_MS = 3;
/** Share of the time to read the shared pieces that a copy away from home costs later: the memory it takes from others. */
const SPREAD_SHARE = 0.5;
/** Fetches of fewer tokens than this are not worth a transfer. */
const MIN_FETCH_TOKENS = 512;
/** Wait of a fetch before its first byte, milliseconds. */
const FETCH_START_MS = 5;
/** Above this share of its memory an engine preempts calls; each further part of 1 counts for so many milliseconds. */
const MEMORY_SHARE = 0.85;
const MEMORY_MS = 5000;

/**
 * Chooses the engine with the least expected delay: its queue, reading what it has not cached, fetching what others have, and
 * the cost of a further copy of shared pieces. Answers load of all levels: with short queues reuse decides, with long ones
 * the queue.
 */
export function placeCall(input: PlaceInput): Placement {
  const { candidates, inputTokens, sharedTokens, rates } = input;
  const ranked = candidates
    .map((engine) => ({ engine, weight: computeWeight(input.homeKey, engine.id) }))
    .sort((a, b) => b.weight - a.weight);
  const home = ranked[0]?.engine.id;
  const source = findSource(candidates);

  const rate = (engine: EngineCandidate): Placement & { readonly score: number } => {
    const cached = Math.min(engine.cachedTokens, inputTokens);
    const elsewhere = source === undefined || source.id === engine.id ? 0 : Math.min(source.cachedTokens, inputTokens);
    const isFetched = elsewhere - cached >= MIN_FETCH_TOKENS;
    const fetchMs = isFetched ? FETCH_START_MS + (elsewhere - cached) / rates.fetchPerMs : 0;
    const uncachedTokens = inputTokens - (isFetched ? elsewhere : cached);
    const expectedMs = engine.waitMs + fetchMs + uncachedTokens / rates.readPerMs;
    const missingShared = Math.max(0, sharedTokens - cached);
    const spreadMs = engine.id === home && source === undefined ? 0 : (missingShared / rates.readPerMs) * SPREAD_SHARE;
    const score =
      expectedMs +
      spreadMs +
      engine.failureShare * FAILURE_MS +
      (engine.isSilent ? SILENT_MS : 0) +
      (engine.isOutdated ? input.outdatedMs : 0) +
      (engine.failureDomain === input.ownDomain ? 0 : DOMAIN_MS) +
      Math.max(0, engine.memoryShare - MEMORY_SHARE) * MEMORY_MS;
    return { id: engine.id, expectedMs, uncachedTokens, fetchFrom: isFetched ? source?.id : undefined, score };
  };

  const [first, ...others] = ranked.map(({ engine }) => rate(engine));
  if (first === undefined) throw new RangeError('no candidate to choose from');
  return others.reduce((a, b) => (b.score < a.score ? b : a), first);
}

/** The engine from which most of the prompt can be fetched. */
function findSource(candidates: readonly EngineCandidate[]): EngineCandidate | undefined {
  const usable = candidates.filter((engine) => engine.cachedTokens > 0 && !engine.isSilent && !engine.isOutdated);
  return usable.reduce<EngineCandidate | undefined>(
    (best, engine) => (best === undefined || engine.cachedTokens > best.cachedTokens ? engine : best),
    undefined,
  );
}
