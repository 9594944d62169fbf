import type { EventSplitter } from './event-splitter.js';
import { isContinuation } from './is-continuation.js';

const LF = 10;
const CR = 13;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/g;
/** Maximum size of an incomplete event, in bytes: room for thousands of tokens. */
const MAX_EVENT_BYTES = 262_144;
/** Bytes before a chunk that may belong to an empty line that the chunk completes. */
const MAX_OVERLAP_BYTES = 2;

/**
 * Creates a splitter for one event stream. Only complete events are written to the caller, so another engine can resume the
 * stream after the last one.
 */
export function createEventSplitter(): EventSplitter {
  let partialChunks: Buffer[] = [];
  let partialBytes = 0;
  let lastEventId: string | undefined;

  const setPartialEvent = (bytes: Buffer): void => {
    partialChunks = bytes.length === 0 ? [] : [bytes];
    partialBytes = bytes.length;
  };
  /** Returns the last bytes of the incomplete event. */
  const readOverlap = (): Buffer => {
    const chunks: Buffer[] = [];
    let missing = MAX_OVERLAP_BYTES;
    for (let index = partialChunks.length - 1; index >= 0 && missing > 0; index -= 1) {
      const part = partialChunks[index]?.subarray(-missing) ?? Buffer.alloc(0);
      chunks.unshift(part);
      missing -= part.length;
    }
    return Buffer.concat(chunks);
  };
  const findEventsEnd = (bytes: Buffer): number => {
    // An empty line ends an event. The search runs backwards, so that one call returns all complete events.
    for (let at = bytes.lastIndexOf(LF); at > 0; at = bytes.lastIndexOf(LF, at - 1)) {
      if (bytes[at - 1] === LF) return at + 1;
      if (bytes[at - 1] === CR && bytes[at - 2] === LF) return at + 1;
    }
    return 0;
  };
  return {
    addBytes: (bytes, isResumed = false) => {
      // Only the new bytes are searched, because an event may arrive in many chunks.
      const overlap = readOverlap();
      const end =
        findEventsEnd(overlap.length === 0 ? bytes : Buffer.concat([overlap, bytes])) - overlap.length;
      if (end <= 0) {
        partialChunks.push(bytes);
        partialBytes += bytes.length;
        return undefined;
      }
      const events =
        partialBytes === 0
          ? bytes.subarray(0, end)
          : Buffer.concat([...partialChunks, bytes.subarray(0, end)]);
      setPartialEvent(bytes.subarray(end));
      if (isResumed && lastEventId !== undefined && !isContinuation(events, lastEventId)) return 'foreign';
      for (const [, id] of events.toString('latin1').matchAll(ID_FIELD)) lastEventId = id;
      return events;
    },
    getLastEventId: () => lastEventId,
    getPartialEvent: () => Buffer.concat(partialChunks),
    isPartialEventTooLong: () => partialBytes > MAX_EVENT_BYTES,
    clearPartialEvent: () => {
      setPartialEvent(Buffer.alloc(0));
    },
  };
}
