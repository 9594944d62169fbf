import type { BackendServer, EngineLoad, PoolConfig } from '@laburnumshift/types';
import type { EngineGoal } from './engine-goal.js';

/** The first thing in which an engine differs from its declaration: weights, then adapters, then role. */
export function findGoal(pool: PoolConfig, server: BackendServer, load: EngineLoad): EngineGoal | undefined {
  const { model, weightVersion } = pool;
  if (model === undefined) return undefined;
  if (weightVersion !== undefined && load.weight_version !== weightVersion) {
    return { type: 'load_weights', model, version: weightVersion };
  }
  const adapter = pool.adapters.find((name) => !load.adapters.includes(name));
  if (adapter !== undefined) return { type: 'load_adapter', model, version: weightVersion, adapter };
  if (server.role !== undefined && load.role !== server.role) return { type: 'set_role', role: server.role };
  return undefined;
}
