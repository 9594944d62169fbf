import type { EngineLoad } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { EngineGoal } from './engine-goal.js';

/** True when a report shows what an order asked for. */
export function isReached(goal: EngineGoal, load: EngineLoad): boolean {
  return match(goal.type)
    .with('load_weights', () => load.weight_version === goal.version)
    .with('load_adapter', () => goal.adapter !== undefined && load.adapters.includes(goal.adapter))
    .with('set_role', () => load.role === goal.role)
    .exhaustive();
}
