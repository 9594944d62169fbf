import { startTimer } from '@laburnumshift/clock';
import type { Exchange } from './exchange.js';

/**
 * Writes a part of the answer and waits while the caller does not read: at most `maxBufferedBytes` and one part are held for
 * it. A caller that stays stalled is cut.
 *
 * @returns false when the caller is gone
 */
export async function writeChunk(exchange: Exchange, chunk: string): Promise<boolean> {
  const { response, maxBufferedBytes, stallTimeoutMs } = exchange;
  if (response.destroyed) return false;
  if (response.write(chunk) || response.writableLength < maxBufferedBytes) return true;
  await new Promise<void>((resolve) => {
    const cancelTimer = startTimer(stallTimeoutMs, () => {
      exchange.onStall();
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
