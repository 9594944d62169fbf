import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';
import type { RequiredChange } from './required-change.js';
import type { EngineRolloutState } from './engine-rollout-state.js';
import { findRequiredChange } from './find-required-change.js';
import type { RolloutLimits } from './rollout-limits.js';

/**
 * Chooses the engine and the change for the next order. Within the limits only some engines of the pool load at once, which
 * includes engines that load without an order or may still start one, and a share of the engines stays warm and in service.
 * Engines without weights come first, then those with the fewest queued and running tokens.
 *
 * @param mayLoadWeights false while the rate limit of weight loads allows none; other changes are not limited
 * @returns `undefined` when no engine may be changed now
 */
export function chooseNextOrder(
  pool: PoolConfig,
  states: ReadonlyMap<string, EngineRolloutState>,
  mayLoadWeights: boolean,
  limits: RolloutLimits,
): { readonly server: BackendServer; readonly change: RequiredChange } | undefined {
  const now = readMonotonicMs();
  const engines = pool.servers.flatMap((server) => {
    const state = states.get(server.name);
    return state === undefined ? [] : [{ server, state }];
  });
  const isLoading = (state: EngineRolloutState): boolean =>
    state.load?.loading === true || state.pendingOrder !== undefined;
  const isWarm = (state: EngineRolloutState): boolean =>
    state.load?.leaving === false &&
    !isLoading(state) &&
    state.readySinceMs !== undefined &&
    now - state.readySinceMs >= limits.warmUpMs;
  if (engines.filter(({ state }) => isLoading(state)).length >= limits.maxConcurrentLoads) return undefined;
  const warmCount = engines.filter(({ state }) => isWarm(state)).length;
  const keepCount = Math.min(engines.length - 1, Math.ceil(engines.length * limits.minInServiceShare));

  const choices = engines.flatMap(({ server, state }) => {
    if (state.load === undefined || state.load.leaving || isLoading(state)) return [];
    if (now < state.notBeforeMs) return [];
    const change = findRequiredChange(pool, server, state.load);
    if (change === undefined || (change.type === 'load_weights' && !mayLoadWeights)) return [];
    // An engine without weights serves no requests, so loading it takes nothing out of service.
    const isServing = state.load.weight_version !== '';
    if (isServing && warmCount - (isWarm(state) ? 1 : 0) < keepCount) return [];
    return [
      { server, change, isServing, pendingTokens: state.load.running_tokens + state.load.queued_tokens },
    ];
  });
  choices.sort((a, b) => Number(a.isServing) - Number(b.isServing) || a.pendingTokens - b.pendingTokens);
  return choices[0];
}
