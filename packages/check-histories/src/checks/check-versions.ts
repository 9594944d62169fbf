import type { History } from '../history/history.js';
import { collectScopes } from './collect-scopes.js';

/** I3: no run used a block of another weight version, and no scope is used by two versions. */
export function checkVersions(history: History): readonly string[] {
  const foreign = Object.entries(history.engineRuns).flatMap(([engine, records]) =>
    records
      .filter((run) => run.foreignBy.includes('version'))
      .map((run) => `run ${run.requestId} on ${engine} used a block of another weight version`),
  );
  const shared = [...collectScopes(history, (run) => run.weightVersion)]
    .filter(([, versions]) => versions.size > 1)
    .map(([scope, versions]) => `the scope ${scope} was used for ${[...versions].sort().join(', ')}`);
  return [...foreign, ...shared];
}
