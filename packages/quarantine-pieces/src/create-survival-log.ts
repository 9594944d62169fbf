import type { SurvivalLog } from './survival-log.js';

/** Maximum number of traits; beyond it the one recorded longest ago is dropped. */
const MAX_TRAITS = 4096;

/** Creates an empty log. Evidence of a crash that arrives from another host is often older than what it lists. */
export function createSurvivalLog(): SurvivalLog {
  const begins = new Map<string, number>();
  return {
    addSurvival: (trait, beganAtMs) => {
      const known = begins.get(trait) ?? -Infinity;
      begins.delete(trait);
      begins.set(trait, Math.max(known, beganAtMs));
      const [oldest] = begins.size > MAX_TRAITS ? begins.keys() : [];
      if (oldest !== undefined) begins.delete(oldest);
    },
    getBeginMs: (trait) => begins.get(trait) ?? -Infinity,
  };
}
