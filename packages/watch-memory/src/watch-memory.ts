import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { MemoryOptions } from './memory-options.js';
import type { MemoryWatch } from './memory-watch.js';

/** Interval between readings, milliseconds: large answers fill tens of megabytes a second. */
const INTERVAL_MS = 100;
/** Fraction of the machine's memory from which on garbage is collected. */
const MEMORY_RATIO = 0.7;
/** Growth of the buffers since the last collection, as a fraction of the machine's memory, that is worth a collection. */
const GROWTH_RATIO = 0.05;

/** Bytes read since the last reading, as a fraction of the machine's memory, after which the memory is read at once. */
const READ_RATIO = 0.02;

/** Collects garbage when the resident memory of the process nears that of its machine. */
export function watchMemory(options: MemoryOptions): MemoryWatch {
  const { memoryBytes, readMemory, collectGarbage, onCollected } = options;
  const logger = createLogger('memory');
  if (collectGarbage === undefined) {
    logger.warn('garbage is collected by the runtime alone; start it with --expose-gc');
    return { observeReadBytes: () => undefined, stop: () => undefined };
  }
  /** Buffers that the last collection left; garbage that the runtime collected itself lowers it. */
  let keptBytes = 0;
  let readBytes = 0;
  const checkMemory = (): void => {
    readBytes = 0;
    const { rss, arrayBuffers } = readMemory();
    keptBytes = Math.min(keptBytes, arrayBuffers);
    if (rss < memoryBytes * MEMORY_RATIO || arrayBuffers - keptBytes < memoryBytes * GROWTH_RATIO) return;
    const startMs = readMonotonicMs();
    collectGarbage();
    keptBytes = readMemory().arrayBuffers;
    onCollected();
    logger.info('collected garbage', {
      residentBytes: rss,
      bufferBytes: arrayBuffers,
      keptBytes,
      ms: Math.round(readMonotonicMs() - startMs),
    });
  };
  const stop = runEvery(INTERVAL_MS, checkMemory, (error) => {
    logger.error('reading the memory of the process failed', { detail: String(error) });
  });
  return {
    observeReadBytes: (bytes) => {
      readBytes += bytes;
      // Thousands of callers send more between two readings of the timer than the machine has left.
      if (readBytes >= memoryBytes * READ_RATIO) checkMemory();
    },
    stop,
  };
}
