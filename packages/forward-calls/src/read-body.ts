import type http from 'node:http';
import { createByteCollector, type ByteReservation, type CollectFault } from '@laburnumshift/collect-bytes';

/**
 * Reads the complete request body. Resolves to the reason when it cannot be kept, such as above `maxBytes`, and to `left` when the caller
 * disconnects first. Never rejects.
 */
export function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
  reservation: ByteReservation,
): Promise<Buffer | CollectFault | 'left'> {
  return new Promise((resolve) => {
    const collector = createByteCollector({ maxBytes, reservation });
    const addChunk = (chunk: Buffer): void => {
      const fault = collector.addChunk(chunk);
      if (fault === undefined) return;
      request.off('data', addChunk);
      collector.clear();
      resolve(fault);
    };
    request.on('data', addChunk);
    request.on('end', () => {
      resolve(collector.getBytes());
    });
    request.on('error', () => {
      resolve('left');
    });
    request.on('close', () => {
      resolve('left');
    });
  });
}
