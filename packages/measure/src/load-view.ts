import type { Priority } from '@laburnumshift/types';

/** The home's view of an engine's prefill queue: a report now and then, plus what was granted since. */
export interface LoadView {
  readonly takeReport: (nowMs: number) => void;
  readonly addGrant: (tokens: number, priority: Priority, nowMs: number) => void;
  readonly getQueueMs: (priority: Priority, nowMs: number) => number;
}
