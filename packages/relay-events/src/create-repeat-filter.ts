import type { CacheEvent } from '@laburnumshift/forward-types';
import type { ReadChange } from '@laburnumshift/read-cache-events';
import type { RepeatFilter } from './repeat-filter.js';

/** Pieces remembered of each sort, about 100 bytes each: some times what a hundred engines hold. */
const MAX_PIECES = 60_000;

interface Place {
  readonly engine: string;
  readonly bootId: string;
  readonly event: CacheEvent;
}

/**
 * Creates a filter. The last piece of each prompt belongs to one call, so it is only ever at the engine that ran it; two thirds
 * of the events are of such pieces, and no other call can use them.
 */
export function createRepeatFilter(): RepeatFilter {
  /** Pieces that were seen at one place so far. */
  const single = new Map<string, Place>();
  const repeated = new Set<string>();
  const buildKey = (scope: string, piece: string): string => `${scope} ${piece}`;
  const dropOldest = (pieces: Map<string, Place> | Set<string>): void => {
    const [oldest] = pieces.size > MAX_PIECES ? pieces.keys() : [];
    if (oldest !== undefined) pieces.delete(oldest);
  };
  /** Records a piece that is at an engine; returns its first place when this is the second one. */
  const recordPlace = (key: string, place: Place): Place | undefined => {
    const first = single.get(key);
    if (first === undefined || first.engine === place.engine) {
      single.set(key, place);
      dropOldest(single);
      return undefined;
    }
    single.delete(key);
    repeated.add(key);
    dropOldest(repeated);
    return first;
  };

  return {
    filterChange: ({ engine, bootId, isCleared, events }) => {
      const firsts: Place[] = [];
      const passed: CacheEvent[] = [];
      if (isCleared) for (const [key, place] of single) if (place.engine === engine) single.delete(key);
      for (const event of events) {
        const key = buildKey(event.scope, event.piece);
        const isThere = event.isAdded || event.tokens > 0;
        if (isThere && !repeated.has(key)) {
          const first = recordPlace(key, { engine, bootId, event });
          if (first !== undefined) firsts.push(first);
        }
        if (repeated.has(key)) passed.push(event);
        else if (!isThere && single.get(key)?.engine === engine) single.delete(key);
      }
      const others: ReadChange[] = firsts.map((first) => ({
        engine: first.engine,
        bootId: first.bootId,
        isCleared: false,
        events: [first.event],
      }));
      return isCleared || passed.length > 0 ? [...others, { engine, bootId, isCleared, events: passed }] : [];
    },
    isRepeated: (scope, piece) => repeated.has(buildKey(scope, piece)),
  };
}
