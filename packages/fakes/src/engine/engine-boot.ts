import type { EventLog } from './event-log.js';
import type { PrefillQueue } from './prefill-queue.js';
import type { PrefixCache } from './prefix-cache.js';
import type { EngineRun } from './engine-run.js';
import type { SlotQueue } from './slot-queue.js';

/** One life of the engine, from its start to a crash. */
export interface EngineBoot {
  readonly id: string;
  readonly cache: PrefixCache;
  readonly events: EventLog;
  readonly slots: SlotQueue;
  readonly prefill: PrefillQueue;
  readonly runs: Set<EngineRun>;
  readonly stopper: AbortController;
}
