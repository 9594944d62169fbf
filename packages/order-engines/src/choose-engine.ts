import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';
import type { EngineGoal } from './engine-goal.js';
import type { EngineState } from './engine-state.js';
import { findGoal } from './find-goal.js';
import type { OrderLimits } from './order-limits.js';

/**
 * Chooses the engine for the next order. At most `maxLoading` engines load at once, those included that load on their own
 * or may still start an order, and enough warm engines stay in service.
 */
export function chooseEngine(
  pool: PoolConfig,
  states: ReadonlyMap<string, EngineState>,
  mayLoadWeights: boolean,
  limits: OrderLimits,
): { readonly server: BackendServer; readonly goal: EngineGoal } | undefined {
  const now = readMonotonicMs();
  const engines = pool.servers.flatMap((server) => {
    const state = states.get(server.name);
    return state === undefined ? [] : [{ server, state }];
  });
  const isLoading = (state: EngineState): boolean =>
    state.load?.loading === true || state.ordered !== undefined;
  const isWarm = (state: EngineState): boolean =>
    state.load?.leaving === false &&
    !isLoading(state) &&
    state.readySinceMs !== undefined &&
    now - state.readySinceMs >= limits.warmMs;
  if (engines.filter(({ state }) => isLoading(state)).length >= limits.maxLoading) return undefined;
  const warmCount = engines.filter(({ state }) => isWarm(state)).length;
  const keepCount = Math.min(engines.length - 1, Math.ceil(engines.length * limits.keepShare));

  const choices = engines.flatMap(({ server, state }) => {
    if (state.load === undefined || state.load.leaving || isLoading(state)) return [];
    if (now < state.notBeforeMs) return [];
    const goal = findGoal(pool, server, state.load);
    if (goal === undefined || (goal.type === 'load_weights' && !mayLoadWeights)) return [];
    // An engine without any weights serves nobody, so loading it takes nothing out of service.
    const isServing = state.load.weight_version !== '';
    if (isServing && warmCount - (isWarm(state) ? 1 : 0) < keepCount) return [];
    return [{ server, goal, isServing, work: state.load.running_tokens + state.load.queued_tokens }];
  });
  choices.sort((a, b) => Number(a.isServing) - Number(b.isServing) || a.work - b.work);
  return choices[0];
}
