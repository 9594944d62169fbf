import { sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { EventsOptions } from './events-options.js';
import type { EventsReader } from './events-reader.js';

/** Longest wait that engines grant, milliseconds. */
const WAIT_MS = 1000;
/** Pause after a failed read, milliseconds: a quarter of a short restart. */
const FAILED_PAUSE_MS = 500;
/** Pause when the engine answers no more readers, milliseconds; others end their reads every second. */
const FULL_PAUSE_MS = 3000;
/** Shortest distance of two reads, milliseconds; changes gather meanwhile. */
const READ_PAUSE_MS = 150;

/**
 * Keeps the directory of cached pieces up to date with the events of engines. Events come late and some never do, so the
 * directory is a guess; a restart of the engine clears it.
 */
export function readCacheEvents({ control, board }: EventsOptions): EventsReader {
  const logger = createLogger('events');
  const stoppers = new Map<string, AbortController>();

  const runLoop = async (engine: string, address: string, signal: AbortSignal): Promise<void> => {
    let since = 0;
    let bootId: string | undefined;
    let isLost = false;
    while (!signal.aborted) {
      const page = await control.readEvents(address, since, WAIT_MS);
      if (signal.aborted) return;
      if (page === undefined || page === 'full') {
        if (!isLost) logger.warn('no events', { engine, address, reason: page ?? 'no answer' });
        isLost = true;
        await sleep(page === 'full' ? FULL_PAUSE_MS : FAILED_PAUSE_MS, signal);
        continue;
      }
      if (isLost) logger.info('events again', { engine, address });
      isLost = false;
      if (page.bootId !== bootId) {
        if (bootId !== undefined) logger.info('engine restarted, its cache is empty', { engine, bootId: page.bootId });
        board.clearPieces(engine);
        bootId = page.bootId;
      } else if (page.isGap) logger.warn('events were lost', { engine, since, next: page.next });
      since = page.next;
      for (const { isAdded, scope, piece, tokens } of page.events) {
        if (isAdded || tokens > 0) board.addPiece(engine, scope, piece, tokens);
        else board.dropPiece(engine, scope, piece);
      }
      await sleep(READ_PAUSE_MS, signal);
    }
  };
  const stopReading = (engine: string): void => {
    stoppers.get(engine)?.abort();
    stoppers.delete(engine);
  };

  return {
    startReading: (engine, address) => {
      if (stoppers.has(engine)) return;
      const stopper = new AbortController();
      stoppers.set(engine, stopper);
      runLoop(engine, address, stopper.signal).catch((error: unknown) => {
        logger.error('reading events failed', { engine, detail: String(error) });
      });
    },
    stopReading,
    close: () => {
      for (const engine of [...stoppers.keys()]) stopReading(engine);
    },
  };
}
