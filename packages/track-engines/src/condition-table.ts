import type { BackendLoad } from '@laburnumshift/forward-types';
import type { ServerCondition } from './server-condition.js';

/** Speed and queue size of servers, from the loads that they report to this host and to others. */
export interface ConditionTable {
  /** Records a reported load. `isFull` when it came with the refusal of a call because the queue is full. */
  readonly observeLoad: (server: string, load: BackendLoad, isFull: boolean) => void;
  /** Records the condition that a server reported to another host. */
  readonly observeCondition: (condition: ServerCondition) => void;
  /** Returns the factor by which work takes longer than usual at a server; 1 without recent reports. */
  readonly getSlowness: (server: string) => number;
  /** Tells whether a server has reported its slowness within the last 10 s. */
  readonly isSlownessKnown: (server: string) => boolean;
  /** Returns the most calls that the queue of a server holds; `undefined` when unknown. */
  readonly getQueueLimit: (server: string) => number | undefined;
  /** Lists the recent conditions, at most 64, the newest first. */
  readonly listConditions: () => readonly ServerCondition[];
  readonly removeServer: (server: string) => void;
}
