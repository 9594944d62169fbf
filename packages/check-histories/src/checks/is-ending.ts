import type { Interval } from '../history/interval.js';
import type { NodeLife } from '../history/node-life.js';

/** True when the life was stopped or killed before the operation ended. */
export function isEnding(life: NodeLife, operation: Interval): boolean {
  const endsFromMs = life.stopMs ?? (life.killed ? life.endMs : Infinity);
  return endsFromMs <= operation.endMs;
}
