import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { applyChange } from './apply-change.js';
import type { EventsOptions } from './events-options.js';
import type { EventsReader } from './events-reader.js';

/** Longest wait that engines grant, milliseconds. */
const WAIT_MS = 1000;
/** Pause after a failed read, milliseconds: a quarter of a short restart. */
const FAILED_PAUSE_MS = 500;
/** Pause when the engine answers no more readers, milliseconds; others end their reads every second. */
const FULL_PAUSE_MS = 3000;

/**
 * Keeps the directory of cached pieces up to date with the events of engines. Events come late and some never do, so the
 * directory is a guess; a restart of the engine clears it.
 */
export function readCacheEvents({ control, board, onChange }: EventsOptions): EventsReader {
  const logger = createLogger('events');
  const stoppers = new Map<string, AbortController>();
  const bootIds = new Map<string, string>();
  /** Engines whose last read failed. */
  const lost = new Set<string>();
  let clock: { readonly readMs: number; readonly clockMs: number } | undefined;

  const runLoop = async (
    engine: string,
    address: string,
    pauseMs: number,
    signal: AbortSignal,
  ): Promise<void> => {
    const pieces = board.getPieces(engine);
    let since = 0;
    let bootId: string | undefined;
    while (!signal.aborted) {
      const page = await control.readEvents(address, since, WAIT_MS);
      if (stoppers.get(engine)?.signal !== signal) return;
      if (page === undefined || page === 'full') {
        if (!lost.has(engine)) logger.warn('no events', { engine, address, reason: page ?? 'no answer' });
        lost.add(engine);
        await sleep(page === 'full' ? FULL_PAUSE_MS : FAILED_PAUSE_MS, signal);
        continue;
      }
      if (lost.has(engine)) logger.info('events again', { engine, address });
      lost.delete(engine);
      const isCleared = page.bootId !== bootId;
      if (isCleared) {
        if (bootId !== undefined)
          logger.info('engine restarted, its cache is empty', { engine, bootId: page.bootId });
        bootId = page.bootId;
      } else if (page.isGap) logger.warn('events were lost', { engine, since, next: page.next });
      since = page.next;
      bootIds.set(engine, page.bootId);
      if (page.clockMs !== undefined) clock = { readMs: readMonotonicMs(), clockMs: page.clockMs };
      const change = { engine, bootId: page.bootId, isCleared, events: page.events };
      applyChange(pieces, change);
      if (isCleared || page.events.length > 0) onChange?.(change);
      await sleep(pauseMs, signal);
    }
  };
  const stopReading = (engine: string): void => {
    stoppers.get(engine)?.abort();
    stoppers.delete(engine);
    bootIds.delete(engine);
    lost.delete(engine);
  };

  return {
    startReading: (engine, address, pauseMs) => {
      if (stoppers.has(engine)) return;
      const stopper = new AbortController();
      stoppers.set(engine, stopper);
      runLoop(engine, address, pauseMs, stopper.signal).catch((error: unknown) => {
        logger.error('reading events failed', { engine, detail: String(error) });
      });
    },
    stopReading,
    isReading: (engine) => bootIds.has(engine) && !lost.has(engine),
    getBootId: (engine) => bootIds.get(engine),
    readClockMs: () => (clock === undefined ? undefined : clock.clockMs + readMonotonicMs() - clock.readMs),
    close: () => {
      for (const engine of [...stoppers.keys()]) stopReading(engine);
    },
  };
}
