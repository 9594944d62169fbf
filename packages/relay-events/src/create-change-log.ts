import type { CacheChange } from '@laburnumshift/read-cache-events';
import type { ChangeLog } from './change-log.js';

/** Maximum number of events kept, about 100 bytes each: some 20 s of events from a hundred engines. */
const MAX_EVENTS = 20_000;

/** Creates an empty change log. */
export function createChangeLog(): ChangeLog {
  const changes: CacheChange[] = [];
  let firstPosition = 0;
  let eventCount = 0;
  return {
    addChange: (change) => {
      changes.push(change);
      eventCount += change.events.length;
      while (eventCount > MAX_EVENTS && changes.length > 1) {
        eventCount -= changes.shift()?.events.length ?? 0;
        firstPosition += 1;
      }
    },
    listSince: (position) =>
      position < firstPosition || position > firstPosition + changes.length
        ? undefined
        : changes.slice(position - firstPosition),
    getNextPosition: () => firstPosition + changes.length,
  };
}
