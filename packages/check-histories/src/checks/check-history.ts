import type { History } from '../history/history.js';
import type { Violation } from '../history/violation.js';
import { INVARIANT_CHECKS } from './invariant-checks.js';

/** Checks a history against all invariants. */
export function checkHistory(history: History): readonly Violation[] {
  return (Object.keys(INVARIANT_CHECKS) as (keyof typeof INVARIANT_CHECKS)[]).flatMap((invariant) =>
    INVARIANT_CHECKS[invariant](history).map((detail) => ({ invariant, detail })),
  );
}
