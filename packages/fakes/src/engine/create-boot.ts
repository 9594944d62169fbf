import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { EngineBoot } from './engine-boot.js';
import type { EngineFaults } from './engine-faults.js';
import type { EngineSettings } from './engine-settings.js';
import { EventLog } from './event-log.js';
import { PrefillQueue } from './prefill-queue.js';
import { PrefixCache } from './prefix-cache.js';
import { SlotQueue } from './slot-queue.js';

/** Creates a new life of the engine with an empty cache and a new boot id. */
export function createBoot(settings: EngineSettings, readFaults: () => EngineFaults): EngineBoot {
  const events = new EventLog(
    () => settings.eventDelayMs + readFaults().extraEventDelayMs,
    () => readFaults().loseEvery,
  );
  const stopper = new AbortController();
  // Each run listens.
  setMaxListeners(0, stopper.signal);
  return {
    id: randomUUID(),
    events,
    cache: new PrefixCache(settings.cacheBytes, (type, block) => {
      events.recordEvent(type, block);
    }),
    slots: new SlotQueue(settings.slots),
    prefill: new PrefillQueue(() => settings.prefillTokensPerSecond * (1 - readFaults().otherShare)),
    runs: new Set(),
    stopper,
  };
}
