import type { BackendServer, EngineLoad, PoolConfig } from '@laburnumshift/types';
import type { RequiredChange } from './required-change.js';

/**
 * Finds the first difference between an engine and its declaration, in the order weights, adapters, role.
 *
 * @returns `undefined` when the engine is as declared or the pool declares no model
 */
export function findRequiredChange(
  pool: PoolConfig,
  server: BackendServer,
  load: EngineLoad,
): RequiredChange | undefined {
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
