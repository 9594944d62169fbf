import type { EventSplitter } from './event-splitter.js';

const LF = 10;
const CR = 13;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/g;

/**
 * Splits the bytes of an event stream after complete events. Only complete events are passed on, so a stream can go on at
 * another engine after the last one.
 */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  let lastId: string | undefined;

  const findEnd = (bytes: Buffer): number => {
    // An empty line ends an event; searched from the end, so that one call passes on all complete events.
    for (let at = bytes.length - 1; at > 0; at -= 1) {
      if (bytes[at] !== LF) continue;
      if (bytes[at - 1] === LF) return at + 1;
      if (bytes[at - 1] === CR && bytes[at - 2] === LF) return at + 1;
    }
    return 0;
  };
  return {
    addBytes: (bytes) => {
      const all = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const end = findEnd(all);
      rest = all.subarray(end);
      if (end === 0) return undefined;
      const events = all.subarray(0, end);
      for (const [, id] of events.toString('latin1').matchAll(ID_FIELD)) lastId = id;
      return events;
    },
    getLastId: () => lastId,
    getRest: () => rest,
    clearRest: () => {
      rest = Buffer.alloc(0);
    },
  };
}
