import { createByteCollector, type ByteReservation, type CollectFault } from '@laburnumshift/collect-bytes';
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
 *
 * @param reservation memory of the incomplete event
 */
export function createEventSplitter(reservation: ByteReservation): EventSplitter {
  const partial = createByteCollector({ maxBytes: MAX_EVENT_BYTES, reservation });
  let fault: CollectFault | undefined;
  let lastEventId: string | undefined;

  const clearPartialEvent = (): void => {
    partial.clear();
    fault = undefined;
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
      const overlap = partial.getBytes().subarray(-MAX_OVERLAP_BYTES);
      const end =
        findEventsEnd(overlap.length === 0 ? bytes : Buffer.concat([overlap, bytes])) - overlap.length;
      if (end <= 0) {
        fault ??= partial.addChunk(bytes);
        return undefined;
      }
      const completing = bytes.subarray(0, end);
      const events =
        partial.countBytes() === 0 ? completing : Buffer.concat([partial.getBytes(), completing]);
      partial.clear();
      if (end < bytes.length) fault ??= partial.addChunk(bytes.subarray(end));
      if (isResumed && lastEventId !== undefined && !isContinuation(events, lastEventId)) return 'foreign';
      for (const [, id] of events.toString('latin1').matchAll(ID_FIELD)) lastEventId = id;
      return events;
    },
    getLastEventId: () => lastEventId,
    getPartialEvent: partial.getBytes,
    getFault: () => fault,
    clearPartialEvent,
  };
}
