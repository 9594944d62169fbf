import type { EngineLoad } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { RequiredChange } from './required-change.js';

/** Returns true when a load report shows the change that an order requested. */
export function isApplied(change: RequiredChange, load: EngineLoad): boolean {
  return match(change.type)
    .with('load_weights', () => load.weight_version === change.version)
    .with('load_adapter', () => change.adapter !== undefined && load.adapters.includes(change.adapter))
    .with('set_role', () => load.role === change.role)
    .exhaustive();
}
