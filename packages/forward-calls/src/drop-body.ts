import type http from 'node:http';
import { startTimer } from '@laburnumshift/clock';
import { hasTooSmallChunks } from '@laburnumshift/collect-bytes';
import { createLogger } from '@laburnumshift/logger';

/** Delay before the connection is closed, in milliseconds: a round trip with room to spare, so that the caller can read the response. */
const CLOSE_DELAY_MS = 50;

/**
 * Reads the rest of the body of a refused request, as its caller may read the response only afterwards. When the rest is longer than
 * `maxBytes`, or comes in too small chunks, it is not read to its end and the connection is closed. Calls `onBytes` for each chunk.
 */
export function dropBody(
  request: http.IncomingMessage,
  maxBytes: number,
  onBytes: (bytes: number) => void,
): void {
  let bytes = 0;
  let chunks = 0;
  const dropChunk = (chunk: Buffer): void => {
    onBytes(chunk.length);
    bytes += chunk.length;
    chunks += 1;
    if (bytes <= maxBytes && !hasTooSmallChunks(chunks, bytes)) return;
    request.off('data', dropChunk);
    request.pause();
    createLogger('callers').warn('connection of a refused request is closed', { bytes, chunks });
    const stopTimer = startTimer(CLOSE_DELAY_MS, () => {
      request.socket.destroy();
    });
    request.socket.once('close', stopTimer);
  };
  request.on('data', dropChunk);
  request.resume();
}
