import { readMonotonicMs, readWallMs } from '@laburnumshift/clock';
import type { EngineLoad } from '@laburnumshift/types';
import type { EngineRolloutState } from './engine-rollout-state.js';
import { isApplied } from './is-applied.js';
import type { RolloutLimits } from './rollout-limits.js';

/** An engine that is unreachable this long after the start deadline of its order is taken to have stopped loading. */
const UNREACHABLE_LOAD_MS = 15_000;

/**
 * Updates the state of an engine from a load report, and decides whether a pending order had an effect. After an order without
 * effect the engine gets no order for an exponentially growing delay.
 *
 * @param load `undefined` when the engine could not be read
 */
export function updateEngineState(
  state: EngineRolloutState,
  load: EngineLoad | undefined,
  limits: RolloutLimits,
): void {
  const identity = load === undefined ? '' : `${load.boot_id} ${load.weight_version}`;
  if (load === undefined || load.loading || identity !== state.bootAndVersion) state.readySinceMs = undefined;
  if (load !== undefined && !load.loading) state.readySinceMs ??= readMonotonicMs();
  state.load = load;
  state.bootAndVersion = identity;
  const { pendingOrder } = state;
  if (pendingOrder === undefined || load?.loading === true) return;
  if (load === undefined) {
    if (readWallMs() > pendingOrder.startDeadlineMs + UNREACHABLE_LOAD_MS) state.pendingOrder = undefined;
    return;
  }
  // An order whose reply was lost may start until its deadline. Only a report made after that shows that it had no effect.
  const hasEffect = isApplied(pendingOrder.change, load);
  if (!hasEffect && load.at <= pendingOrder.startDeadlineMs + limits.maxReportLagMs) return;
  state.pendingOrder = undefined;
  state.ineffectiveOrders = hasEffect ? 0 : state.ineffectiveOrders + 1;
  const backoffMs = Math.min(
    limits.maxBackoffMs,
    limits.initialBackoffMs * 2 ** (state.ineffectiveOrders - 1),
  );
  state.notBeforeMs = hasEffect ? 0 : readMonotonicMs() + backoffMs;
}
