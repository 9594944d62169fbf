import { readWallMs } from '@laburnumshift/clock';
import { match } from 'ts-pattern';
import type { z } from 'zod';
import type { EngineState } from './engine-state.js';
import { loadWeights } from './load-weights.js';
import type { orderSchema } from './order-schema.js';

/** Part of the time of a load of weights that an adapter takes. */
const ADAPTER_SHARE = 0.2;

async function runOrder(state: EngineState, order: z.infer<typeof orderSchema>): Promise<void> {
  await match(order.type)
    .with('load_weights', () =>
      loadWeights(state, order.model ?? state.model, order.version ?? state.weightVersion),
    )
    .with('load_adapter', async () => {
      const { signal } = state.boot.stopper;
      await state.settings.loadGroup.runLoad(state.settings.loadMs * ADAPTER_SHARE, signal);
      const { adapter } = order;
      if (signal.aborted || adapter === undefined || state.adapters.includes(adapter)) return;
      state.adapters = [...state.adapters, adapter];
    })
    .with('set_role', () => {
      state.role = order.role ?? state.role;
    })
    .exhaustive();
}

/**
 * Takes an order and carries it out after the earlier ones; returns status and body of the answer. An engine that does not check
 * fencing keeps no fencing number. An order whose deadline passes while it waits is dropped.
 */
export function applyOrder(
  state: EngineState,
  order: z.infer<typeof orderSchema>,
): { status: number; value: unknown } {
  if (state.orders.has(order.order_id)) return { status: 200, value: {} };
  if (state.settings.checksFencing && order.fencing < state.lastFencing) {
    return { status: 409, value: { error: 'stale_fencing', last_fencing: state.lastFencing } };
  }
  if (readWallMs() > order.deadline) return { status: 410, value: { error: 'deadline_passed' } };
  if (state.settings.checksFencing) state.lastFencing = order.fencing;
  state.orders.add(order.order_id);
  const { boot } = state;
  state.orderTail = state.orderTail.then(async () => {
    if (state.boot === boot && readWallMs() <= order.deadline) await runOrder(state, order);
  });
  return { status: 200, value: {} };
}
