import type { ReadChange } from '@laburnumshift/read-cache-events';
import type { ChangeLog } from './change-log.js';

/** Events kept, about 100 bytes each: some 20 s of a fleet of a hundred engines. */
const MAX_EVENTS = 20_000;

/** Creates an empty log. */
export function createChangeLog(): ChangeLog {
  const changes: ReadChange[] = [];
  let first = 0;
  let events = 0;
  return {
    addChange: (change) => {
      changes.push(change);
      events += change.events.length;
      while (events > MAX_EVENTS && changes.length > 1) {
        events -= changes.shift()?.events.length ?? 0;
        first += 1;
      }
    },
    listSince: (position) =>
      position < first || position > first + changes.length ? undefined : changes.slice(position - first),
    getNext: () => first + changes.length,
  };
}
