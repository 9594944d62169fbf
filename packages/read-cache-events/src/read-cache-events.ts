import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { applyCacheChange } from './apply-cache-change.js';
import type { CacheEventReaderOptions } from './cache-event-reader-options.js';
import type { CacheEventReader } from './cache-event-reader.js';

/** Longest long-poll wait that engines allow, milliseconds. */
const LONG_POLL_MS = 1000;
/** Delay after a failed read, milliseconds: a quarter of a short engine restart. */
const RETRY_DELAY_MS = 500;
/** Delay after an engine refused another reader, milliseconds. Reads of the other readers end every second. */
const FULL_RETRY_DELAY_MS = 3000;

/**
 * Keeps the directory of cached pieces up to date with the events of engines. Events arrive late and some are lost, so the
 * directory is only approximate. A restart of an engine clears its pieces.
 */
export function readCacheEvents({
  control,
  serverTracker,
  onChange,
}: CacheEventReaderOptions): CacheEventReader {
  const logger = createLogger('events');
  const abortControllers = new Map<string, AbortController>();
  const bootIds = new Map<string, string>();
  /** Engines whose last read failed. */
  const failing = new Set<string>();
  let clock: { readonly readMs: number; readonly clockMs: number } | undefined;

  const runLoop = async (
    engine: string,
    address: string,
    pauseMs: number,
    signal: AbortSignal,
  ): Promise<void> => {
    const pieces = serverTracker.getPieceTable(engine);
    let since = 0;
    let bootId: string | undefined;
    while (!signal.aborted) {
      const page = await control.readEvents(address, since, LONG_POLL_MS, bootId);
      if (abortControllers.get(engine)?.signal !== signal) return;
      if (page === undefined || page === 'full') {
        if (!failing.has(engine))
          logger.warn('failed to read events', { engine, address, reason: page ?? 'no answer' });
        failing.add(engine);
        await sleep(page === 'full' ? FULL_RETRY_DELAY_MS : RETRY_DELAY_MS, signal);
        continue;
      }
      if (failing.has(engine)) logger.info('reading events succeeds again', { engine, address });
      failing.delete(engine);
      const isCleared = page.bootId !== bootId;
      if (isCleared) {
        if (bootId !== undefined)
          logger.info('engine restarted, its cache is empty', { engine, bootId: page.bootId });
        bootId = page.bootId;
      } else if (page.hasGap) logger.warn('events were lost', { engine, since, next: page.next });
      since = page.next;
      bootIds.set(engine, page.bootId);
      if (page.clockMs !== undefined) clock = { readMs: readMonotonicMs(), clockMs: page.clockMs };
      const change = { engine, bootId: page.bootId, isCleared, events: page.events };
      applyCacheChange(pieces, change);
      if (isCleared || page.events.length > 0) onChange?.(change);
      await sleep(pauseMs, signal);
    }
  };
  const stopReading = (engine: string): void => {
    abortControllers.get(engine)?.abort();
    abortControllers.delete(engine);
    bootIds.delete(engine);
    failing.delete(engine);
  };

  return {
    startReading: (engine, address, pauseMs) => {
      if (abortControllers.has(engine)) return;
      const stopper = new AbortController();
      abortControllers.set(engine, stopper);
      runLoop(engine, address, pauseMs, stopper.signal).catch((error: unknown) => {
        logger.error('event reader stopped after an error', { engine, detail: String(error) });
      });
    },
    stopReading,
    isReading: (engine) => bootIds.has(engine) && !failing.has(engine),
    getBootId: (engine) => bootIds.get(engine),
    readClockMs: () => (clock === undefined ? undefined : clock.clockMs + readMonotonicMs() - clock.readMs),
    close: () => {
      for (const engine of [...abortControllers.keys()]) stopReading(engine);
    },
  };
}
