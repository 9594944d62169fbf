import type http from 'node:http';
import { createByteCollector, type ByteReservation, type CollectFault } from '@laburnumshift/collect-bytes';

/**
 * Reads the complete request body. Resolves to the reason when it cannot be kept, such as above `maxBytes`, and to `left` when the caller
 * disconnects first. Never rejects. Calls `onBytes` for each chunk.
 */
export function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
  reservation: ByteReservation,
  onBytes: (bytes: number) => void,
): Promise<Buffer | CollectFault | 'left'> {
  return new Promise((resolve) => {
    const collector = createByteCollector({ maxBytes, reservation });
    const finish = (result: Buffer | CollectFault | 'left'): void => {
      // An idle connection keeps its last request, whose listeners would keep the body.
      request.off('data', addChunk).off('end', handleEnd).off('error', handleLeft).off('close', handleLeft);
      request.on('error', dropError);
      resolve(result);
    };
    const addChunk = (chunk: Buffer): void => {
      onBytes(chunk.length);
      const fault = collector.addChunk(chunk);
      if (fault === undefined) return;
      collector.clear();
      finish(fault);
    };
    const handleEnd = (): void => {
      finish(collector.getBytes());
    };
    const handleLeft = (): void => {
      collector.clear();
      finish('left');
    };
    request.on('data', addChunk).on('end', handleEnd).on('error', handleLeft).on('close', handleLeft);
  });
}

/** For errors after the body has been read: the connection reports them too. */
function dropError(): void {
  return undefined;
}
