import type { History } from '../history/history.js';
import { collectScopes } from './collect-scopes.js';
import { findRequestId } from './find-request-id.js';

/** I2: no run used a block of another scope, and no two accounts share a scope. */
export function checkAccounts(history: History): readonly string[] {
  const owners = new Map<string, Set<string>>();
  for (const { key, account } of history.completions) {
    owners.set(key, (owners.get(key) ?? new Set()).add(account));
  }
  const foreign = Object.entries(history.engineRuns).flatMap(([engine, records]) =>
    records
      .filter((run) => run.foreignBy.includes('scope'))
      .map((run) => `run ${run.requestId} on ${engine} used a block of another scope`),
  );
  // Accounts may use the same request id; such a run names no single account.
  const scopes = collectScopes(history, (run) => {
    const accounts = [...(owners.get(findRequestId(run.requestId)) ?? [])];
    return accounts.length === 1 ? accounts[0] : undefined;
  });
  const shared = [...scopes]
    .filter(([, accounts]) => accounts.size > 1)
    .map(([scope, accounts]) => `the scope ${scope} was used for ${[...accounts].sort().join(', ')}`);
  const answers = history.bookings.flatMap(({ key, account, body, answer }) =>
    answer === undefined || readBody(answer) === body
      ? []
      : [`the booking ${key} of ${account} got an answer to another body`],
  );
  return [...foreign, ...shared, ...answers];
}

function readBody(answer: string): unknown {
  try {
    return (JSON.parse(answer) as { readonly body?: unknown }).body;
  } catch {
    return undefined;
  }
}
