import { startTimer } from '@laburnumshift/clock';
import type { Exchange } from './exchange.js';

/**
 * Writes a chunk of the answer. While `maxBufferedBytes` or more are buffered, it waits for the caller to read, so at
 * most that many bytes and one chunk are buffered. A caller that does not read for `stallTimeoutMs` is disconnected.
 *
 * @returns false when the caller has disconnected or was disconnected
 */
export async function writeChunk(exchange: Exchange, chunk: string): Promise<boolean> {
  const { response, maxBufferedBytes, stallTimeoutMs } = exchange;
  if (response.destroyed) return false;
  if (response.write(chunk) || response.writableLength < maxBufferedBytes) return true;
  await new Promise<void>((resolve) => {
    const cancelTimer = startTimer(stallTimeoutMs, () => {
      exchange.onStalledCaller();
      response.destroy();
    });
    const finishWait = (): void => {
      cancelTimer();
      response.off('drain', finishWait).off('close', finishWait);
      resolve();
    };
    response.once('drain', finishWait).once('close', finishWait);
  });
  return !response.destroyed;
}
