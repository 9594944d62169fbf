import type { BackendEntry } from '@laburnumshift/forward-types';
import type { AttemptOutcome } from './attempt-outcome.js';
import { confirmSourceEnd } from './confirm-source-end.js';
import type { EngineChoice } from './engine-choice.js';
import { findAllowedTarget } from './find-allowed-target.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { MatchedCall } from './matched-call.js';
import type { MoveEnd } from './move-end.js';
import type { PendingContinuation } from './pending-continuation.js';
import type { RunBackup } from './run-backup.js';
import type { RunWeights } from './run-weights.js';

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
  readonly moveEnd: MoveEnd | undefined;
  readonly runWeights: RunWeights | undefined;
  readonly outcome: AttemptOutcome;
  readonly isRepeatable: boolean;
  /** Whether the call still uses the cache scope that the run began with, in which its memory lies. */
  readonly isSameScope: () => boolean;
  /** Aborted when the caller has left or the host ends its calls, so that nothing is sent any more. */
  readonly signal: AbortSignal;
}

/** Memory of the run at one engine. */
interface KeptMemory {
  readonly from: PendingContinuation['from'];
  readonly server: BackendEntry;
  readonly memoryId: string;
}

/** Lists where the run has memory, the most complete first. */
const listMemory = (callId: string, { backup, moveEnd }: BrokenAttempt): readonly KeptMemory[] => {
  const copy: KeptMemory[] = backup ? [{ from: 'backup', server: backup.server, memoryId: callId }] : [];
  if (moveEnd?.handle === undefined || moveEnd.holder === undefined) return copy;
  const moved: KeptMemory = { from: 'handle', server: moveEnd.holder, memoryId: moveEnd.handle };
  return moveEnd.isStopped ? [moved, ...copy] : [...copy, moved];
};

/**
 * Finds the attempt by which a broken run continues from memory that was kept of it. Returns `undefined` unless its engine is known to
 * have stopped the run or to have ended, the memory is of one weight version, and this host may send calls to an engine with it.
 */
export async function findContinuation(
  deps: ForwarderDependencies,
  { call }: MatchedCall,
  attempt: BrokenAttempt,
): Promise<PendingContinuation | undefined> {
  const { choice, outcome, moveEnd } = attempt;
  if (outcome.kind !== 'broken' && outcome.kind !== 'cut') return undefined;
  const isAborted = (): boolean => attempt.signal.aborted;
  if (isAborted()) return undefined;
  const memory = listMemory(call.id, attempt);
  if (memory.length === 0) return undefined;
  const boundMs = attempt.isRepeatable ? MAX_REPEATABLE_CONFIRM_MS : MAX_CONFIRM_MS;
  const isStopped = moveEnd?.isStopped === true;
  const isOver = isStopped || (await confirmSourceEnd(deps, choice.server, boundMs, attempt.signal));
  if (!isOver || (await attempt.runWeights?.confirmUniform(isStopped)) !== true) return undefined;
  if (isAborted() || !attempt.isSameScope()) return undefined;
  const weights = { model: call.prompt?.model ?? '', version: choice.version };
  for (const { from, server: holder, memoryId } of memory) {
    const isReturning = holder.id === choice.server.id;
    const server = findAllowedTarget(deps, holder, weights, isReturning);
    if (server === undefined || !deps.limits.hasRoom(server)) continue;
    return {
      from,
      isReturning,
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
      memory: { sourceAddress: choice.server.address, memoryId },
      brokenOutcome: outcome,
    };
  }
  return undefined;
}
