import type { EngineRunRecord } from '@laburnumshift/fakes/engine';
import type { History } from '../history/history.js';

/** Collects the labels with which each cache scope was used, by scope. */
export function collectScopes(
  history: History,
  getLabel: (run: EngineRunRecord) => string | undefined,
): ReadonlyMap<string, ReadonlySet<string>> {
  const scopes = new Map<string, Set<string>>();
  for (const run of Object.values(history.engineRuns).flat()) {
    const label = getLabel(run);
    if (label === undefined) continue;
    const labels = scopes.get(run.scope) ?? new Set();
    scopes.set(run.scope, labels.add(label));
  }
  return scopes;
}
