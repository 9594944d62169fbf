import type { EngineLoad } from '@laburnumshift/types';
import type { RequiredChange } from './required-change.js';

/** State of an engine that the rollout keeps between two polls. */
export interface EngineRolloutState {
  /** Last load report; `undefined` when the last read failed. */
  load: EngineLoad | undefined;
  /** An order that may still start or run, and the wall-clock time until which it may start, milliseconds. */
  pendingOrder: { readonly change: RequiredChange; readonly startDeadlineMs: number } | undefined;
  /** Monotonic time since which the engine reports the same boot id and version without loading, milliseconds. */
  readySinceMs: number | undefined;
  /** Boot id and weight version of the last report; empty when the read failed. */
  bootAndVersion: string;
  /** Consecutive orders without effect. */
  ineffectiveOrders: number;
  /** Monotonic time before which the engine gets no order, milliseconds. */
  notBeforeMs: number;
}
