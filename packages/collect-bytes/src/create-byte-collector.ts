import type { ByteReservation } from './byte-reservation.js';
import type { ByteCollector } from './byte-collector.js';
import { COLLECT_FAULTS } from './collect-faults.js';
import { hasTooSmallChunks } from './has-too-small-chunks.js';

const EMPTY = Buffer.alloc(0);

/**
 * Creates a collector. It copies the chunks, as each is an object on the heap and a part of a larger buffer, whatever it holds.
 *
 * @param options `maxBytes` limits this collector, `reservation` all that its call keeps
 */
export function createByteCollector(options: {
  readonly maxBytes: number;
  readonly reservation: ByteReservation;
}): ByteCollector {
  const { maxBytes, reservation } = options;
  let buffer = EMPTY;
  let length = 0;
  let chunks = 0;

  return {
    addChunk: (chunk) => {
      const needed = length + chunk.length;
      chunks += 1;
      if (needed > maxBytes) return COLLECT_FAULTS.tooLong;
      if (hasTooSmallChunks(chunks, needed)) return COLLECT_FAULTS.tooSmallChunks;
      if (needed > buffer.length) {
        // Doubling keeps the cost of copying linear.
        const capacity = Math.min(maxBytes, Math.max(needed, 2 * buffer.length));
        if (!reservation.reserveBytes(capacity - buffer.length)) return COLLECT_FAULTS.noMemory;
        const grown = Buffer.allocUnsafeSlow(capacity);
        buffer.copy(grown, 0, 0, length);
        buffer = grown;
      }
      chunk.copy(buffer, length);
      length = needed;
      return undefined;
    },
    countBytes: () => length,
    getBytes: () => buffer.subarray(0, length),
    clear: () => {
      reservation.releaseBytes(buffer.length);
      buffer = EMPTY;
      length = 0;
      chunks = 0;
    },
  };
}
