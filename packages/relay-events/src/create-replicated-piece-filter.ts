import type { CacheEvent } from '@laburnumshift/forward-types';
import type { CacheChange } from '@laburnumshift/read-cache-events';
import type { ReplicatedPieceFilter } from './replicated-piece-filter.js';

/** Maximum number of pieces remembered per collection, about 100 bytes each: several times what a hundred engines hold. */
const MAX_PIECES = 60_000;

interface PieceLocation {
  readonly engine: string;
  readonly bootId: string;
  readonly event: CacheEvent;
}

/**
 * Creates a filter for replicated pieces. The last piece of each prompt belongs to one call, so only the engine that ran the call
 * ever holds it. Two thirds of the events concern such pieces, and no other call can use them.
 */
export function createReplicatedPieceFilter(): ReplicatedPieceFilter {
  /** Pieces seen on one engine so far. */
  const singleLocations = new Map<string, PieceLocation>();
  /** Pieces seen on at least two engines. */
  const replicated = new Set<string>();
  const buildKey = (scope: string, piece: string): string => `${scope} ${piece}`;
  const dropOldest = (pieces: Map<string, PieceLocation> | Set<string>): void => {
    const [oldest] = pieces.size > MAX_PIECES ? pieces.keys() : [];
    if (oldest !== undefined) pieces.delete(oldest);
  };
  /** Records that an engine holds a piece; returns the first location when this is the second engine. */
  const recordLocation = (key: string, location: PieceLocation): PieceLocation | undefined => {
    const first = singleLocations.get(key);
    if (first === undefined || first.engine === location.engine) {
      singleLocations.set(key, location);
      dropOldest(singleLocations);
      return undefined;
    }
    singleLocations.delete(key);
    replicated.add(key);
    dropOldest(replicated);
    return first;
  };

  return {
    filterChange: ({ engine, bootId, isCleared, events }) => {
      const firstLocations: PieceLocation[] = [];
      const passedEvents: CacheEvent[] = [];
      if (isCleared)
        for (const [key, location] of singleLocations)
          if (location.engine === engine) singleLocations.delete(key);
      for (const event of events) {
        const key = buildKey(event.scope, event.piece);
        const isPresent = event.isAdded || event.tokens > 0;
        if (isPresent && !replicated.has(key)) {
          const first = recordLocation(key, { engine, bootId, event });
          if (first !== undefined) firstLocations.push(first);
        }
        if (replicated.has(key)) passedEvents.push(event);
        else if (!isPresent && singleLocations.get(key)?.engine === engine) singleLocations.delete(key);
      }
      const earlierChanges: CacheChange[] = firstLocations.map((first) => ({
        engine: first.engine,
        bootId: first.bootId,
        isCleared: false,
        events: [first.event],
      }));
      return isCleared || passedEvents.length > 0
        ? [...earlierChanges, { engine, bootId, isCleared, events: passedEvents }]
        : [];
    },
    isReplicated: (scope, piece) => replicated.has(buildKey(scope, piece)),
  };
}
