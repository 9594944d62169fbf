import { readMonotonicMs, readWallMs } from '@laburnumshift/clock';
import type { EngineLoad } from '@laburnumshift/types';
import type { EngineState } from './engine-state.js';
import { isReached } from './is-reached.js';
import type { OrderLimits } from './order-limits.js';

/** An engine that stays out of reach for so long after its order can no longer be loading. */
const LOST_MS = 15_000;

/** Takes a load report into account; `undefined` when the engine could not be reached. */
export function observeEngine(state: EngineState, load: EngineLoad | undefined, limits: OrderLimits): void {
  const identity = load === undefined ? '' : `${load.boot_id} ${load.weight_version}`;
  if (load === undefined || load.loading || identity !== state.identity) state.readySinceMs = undefined;
  if (load !== undefined && !load.loading) state.readySinceMs ??= readMonotonicMs();
  state.load = load;
  state.identity = identity;
  const { ordered } = state;
  if (ordered === undefined || load?.loading === true) return;
  if (load === undefined) {
    if (readWallMs() > ordered.untilMs + LOST_MS) state.ordered = undefined;
    return;
  }
  // An order whose answer was lost may start until its deadline; only a report from after it shows that it had no effect.
  const hasEffect = isReached(ordered.goal, load);
  if (!hasEffect && load.at <= ordered.untilMs + limits.reportLagMs) return;
  state.ordered = undefined;
  state.failures = hasEffect ? 0 : state.failures + 1;
  const backoffMs = Math.min(limits.maxBackoffMs, limits.backoffMs * 2 ** (state.failures - 1));
  state.notBeforeMs = hasEffect ? 0 : readMonotonicMs() + backoffMs;
}
