import type { CallerOperation } from '../history/caller-operation.js';
import type { History } from '../history/history.js';
import { findRequestId } from './find-request-id.js';

/**
 * I5: each run of a key belongs to an operation that began before it and was not refused as `not run`. An operation that was
 * refused so cannot account for a run.
 */
export function checkNotRun(history: History): readonly string[] {
  const runs = Object.values(history.engineRuns)
    .flat()
    .map((run) => ({ key: findRequestId(run.requestId), atMs: run.startedAtMs }));
  const calls = Object.values(history.serviceCalls)
    .flat()
    .map((call) => ({ key: call.key, atMs: call.ranAtMs }));
  return [...findDenied(history.completions, runs), ...findDenied(history.bookings, calls)];
}

function findDenied(
  operations: readonly CallerOperation[],
  runs: readonly { readonly key: string; readonly atMs: number }[],
): readonly string[] {
  return runs.flatMap(({ key, atMs }) => {
    const earlier = operations.filter((operation) => operation.key === key && operation.startMs <= atMs);
    const denied = earlier.filter(({ result }) => result.kind === 'refused' && result.outcome === 'not run');
    if (denied.length < earlier.length || denied.length === 0) return [];
    const codes = denied.map(
      ({ result, node }) => `${result.kind === 'refused' ? result.code : ''} at ${node}`,
    );
    return [`${key} ran, and all its callers were told \`not run\` (${codes.join('; ')})`];
  });
}
