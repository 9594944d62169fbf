import { isUsableServer } from '@laburnumshift/choose-server';
import type { AttemptOutcome } from './attempt-outcome.js';
import { confirmSourceEnd } from './confirm-source-end.js';
import type { EngineChoice } from './engine-choice.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { MatchedCall } from './matched-call.js';
import type { PendingContinuation } from './pending-continuation.js';
import type { RunBackup } from './run-backup.js';

/**
 * Time to find out whether the engine has ended, milliseconds. Callers drop a stream after a pause of two seconds, and a call that can
 * be sent again loses more by waiting than by running again.
 */
const MAX_CONFIRM_MS = 1800;
const MAX_REPEATABLE_CONFIRM_MS = 400;

/** The attempt that broke off, whose connection is closed. */
interface BrokenAttempt {
  readonly choice: EngineChoice;
  readonly backup: RunBackup | undefined;
  readonly outcome: AttemptOutcome;
  readonly isRepeatable: boolean;
  /** Whether the call still uses the cache scope that the run began with, in which its memory lies. */
  readonly isSameScope: () => boolean;
  readonly signal: AbortSignal;
}

/**
 * Finds the attempt by which a broken run continues from its copy. Returns `undefined` unless its engine is known to have ended and
 * this host may send calls to the engine with the copy.
 */
export async function findBackupContinuation(
  deps: ForwarderDependencies,
  { call }: MatchedCall,
  { choice, backup, outcome, isRepeatable, isSameScope, signal }: BrokenAttempt,
): Promise<PendingContinuation | undefined> {
  if (backup === undefined || (outcome.kind !== 'broken' && outcome.kind !== 'cut')) return undefined;
  const boundMs = isRepeatable ? MAX_REPEATABLE_CONFIRM_MS : MAX_CONFIRM_MS;
  if (!(await confirmSourceEnd(deps, choice.server, boundMs, signal))) return undefined;
  const server = deps.fleet.getBackend(backup.server.id);
  if (server?.bornMs !== backup.server.bornMs || server.address !== backup.server.address) return undefined;
  const weights = { model: call.prompt?.model ?? '', version: choice.version };
  if (!isSameScope()) return undefined;
  if (!isUsableServer(deps, server, weights) || !deps.limits.hasRoom(server)) return undefined;
  return {
    from: 'backup',
    choice: {
      ...choice,
      server,
      uncachedTokens: 0,
      queueTokens: 0,
      expectedMs: 0,
      memoryShare: undefined,
      fetch: undefined,
      transfers: { fetchFrom: [], saveTo: [], fetchUntilMs: undefined },
    },
    memory: { sourceAddress: choice.server.address, memoryId: call.id },
    brokenOutcome: outcome,
  };
}
