import { readMonotonicMs, sleep, startTimer } from '@laburnumshift/clock';
import {
  chooseMoveTarget,
  decideMove,
  decideMoveStep,
  type MoveReason,
  type MoveStep,
  type MoveStepInput,
} from '@laburnumshift/continue-runs';
import type { BackendEntry } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { hasPendingOrder } from '@laburnumshift/track-fleet';
import { buildTargetInput } from './build-target-input.js';
import type { EngineChoice } from './engine-choice.js';
import { estimateOutputTokens } from './estimate-output-tokens.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { MatchedCall } from './matched-call.js';
import type { MoveEnd } from './move-end.js';
import type { RunMover } from './run-mover.js';
import type { RunWeights } from './run-weights.js';

/** Pause before a request is sent again, milliseconds: a part of a usual copy. */
const RETRY_MS = 100;
/** Pause between two moves of one run that came to nothing, milliseconds, and the most of them. */
const NEXT_MOVE_MS = 500;
const MAX_MOVES = 6;
/** Most targets that one move tries. */
const MAX_TARGETS = 2;
/** Most moves of one host at once: they share the links of the leaving engine. */
const MAX_COPIES = 32;
/** Time for the events before the stop to arrive, milliseconds; then the connection is closed even if its end was lost. */
const STREAM_END_MS = 300;

/** The run that may be moved. */
interface MovableRun {
  readonly choice: EngineChoice;
  readonly runWeights: RunWeights;
  readonly isRepeatable: boolean;
  readonly excluded: ReadonlySet<string>;
  /** Returns the monotonic time of the last event at this engine, milliseconds; `undefined` before the first one. */
  readonly getLastEventMs: () => number | undefined;
}

/** Starts to watch a run. Returns `undefined` where the configuration of its service has no moves. */
export function startRunMover(
  deps: ForwarderDependencies,
  { service, call, endsAtMs }: MatchedCall,
  { choice, runWeights, isRepeatable, excluded, getLastEventMs }: MovableRun,
): RunMover | undefined {
  const { engine } = service;
  const { prompt } = call;
  if (engine?.hasMoves !== true || prompt === undefined || choice.transfers === undefined) return undefined;
  const source = choice.server;
  const { copies, tokenTimes } = deps.runCopies;
  const startedMs = readMonotonicMs();
  const stopped = new AbortController();
  const isEnded = new AbortController();
  let nextMoveMs = startedMs;
  let moves = 0;
  let hasLeaveNotice = false;
  let moving: Promise<void> | undefined;
  let phase: MoveStepInput['phase'] = 'copy';
  let end: MoveEnd | undefined;
  let cancelTimer = (): void => undefined;

  const isSourceLeaving = (): boolean => {
    const entry = deps.fleet.getBackend(source.id);
    return (
      hasLeaveNotice ||
      entry === undefined ||
      entry.isDraining ||
      deps.notices.getAvailability(source).isLeaving
    );
  };
  /** A run that is stopped after its engine got other weights could not continue anywhere. */
  const isMovable = async (): Promise<boolean> => {
    const entry = deps.fleet.getBackend(source.id);
    return !(entry !== undefined && hasPendingOrder(entry)) && (await runWeights.confirmUniform(true));
  };
  const releaseHandle = (handle: string | undefined): void => {
    if (handle !== undefined) void deps.freeHandle(source.address, handle);
  };
  const decide = (): ReturnType<typeof decideMove> => {
    const now = readMonotonicMs();
    const lastEventMs = getLastEventMs();
    const tokenMs = tokenTimes.getTokenMs(service.name);
    return decideMove({
      isSourceLeaving: isSourceLeaving(),
      isRepeatable,
      elapsedMs: now - startedMs,
      expectedRunMs: choice.expectedMs + estimateOutputTokens(prompt) * tokenMs,
      remainingMs: endsAtMs - now,
      silentMs: lastEventMs === undefined ? undefined : now - lastEventMs,
      eventPauseMs: (engine.maxEventTokens ?? 1) * tokenMs,
    });
  };
  /** An engine that does not answer is frozen with all its runs, so it gets no further work. */
  const isLagConfirmed = async (): Promise<boolean> => {
    const report = await deps.probeServer(source);
    hasLeaveNotice ||= report.kind === 'alive' && report.leavesInMs !== undefined;
    return report.kind === 'alive' && (report.runs?.has(call.id) ?? false);
  };
  /** Copies the run to one target, and stops it there. Returns the last step. */
  const moveTo = async (target: BackendEntry, reason: MoveReason): Promise<MoveStep> => {
    phase = 'copy';
    for (let tries = 1; ; tries += 1) {
      const isLast = phase === 'stop';
      const answer = await deps.moveRun(source, { callId: call.id, targetAddress: target.address, isLast });
      const handle = 'handle' in answer ? answer.handle : undefined;
      const isKeptAtSource = isLast && answer.kind === 'no-capacity' && handle !== undefined;
      if (handle !== undefined) {
        if (end?.handle !== undefined && end.handle !== handle) releaseHandle(end.handle);
        end = { reason, step: undefined, isStopped: false, handle, holder: isKeptAtSource ? source : target };
      }
      const step = decideMoveStep({ phase, answer: answer.kind, isKeptAtSource, tries });
      if (isEnded.signal.aborted && !isLast) return 'give-up';
      if (step !== 'again' && step !== 'stop') return step;
      if (!isLast && !runWeights.isUnchanged()) {
        releaseHandle(end?.handle);
        end = undefined;
        return 'give-up';
      }
      if (step === 'stop') {
        phase = 'stop';
        tries = 0;
      } else await sleep(RETRY_MS);
    }
  };
  const moveRun = async (reason: MoveReason, gainMs: number): Promise<void> => {
    if (reason === 'lagging' && !(await isLagConfirmed())) return;
    if (!(await isMovable())) return;
    const tried = new Set(excluded);
    for (let targets = 0; targets < MAX_TARGETS && !isEnded.signal.aborted; targets += 1) {
      if (copies.countAll() >= MAX_COPIES) return;
      const input = buildTargetInput(deps, { ...service, engine }, prompt, choice, tried);
      const target = deps.fleet.getBackend(chooseMoveTarget(input, gainMs)?.id ?? '');
      if (target === undefined) return;
      tried.add(target.id);
      const release = copies.addCopy(target.id);
      const step = await moveTo(target, reason).finally(release);
      const isStopped = step === 'at-target' || step === 'at-source' || step === 'stopped';
      end = { reason, handle: undefined, holder: undefined, ...end, step, isStopped };
      deps.metrics.addToCounter('run_moves_total', { reason, result: step });
      if (step === 'at-target' || step === 'at-source')
        cancelTimer = startTimer(STREAM_END_MS, () => {
          stopped.abort();
        });
      if (step !== 'other-target') return;
    }
  };
  const stopChecks = deps.startStallChecks(() => {
    const now = readMonotonicMs();
    if (moving !== undefined || moves >= MAX_MOVES || now < nextMoveMs || end?.isStopped === true) return;
    const decision = decide();
    if (decision === undefined) return;
    moves += 1;
    moving = moveRun(decision.reason, decision.gainMs)
      .catch((error: unknown) => {
        createLogger('forward').error('moving a run failed', { request: call.id, detail: String(error) });
      })
      .finally(() => {
        moving = undefined;
        nextMoveMs = readMonotonicMs() + NEXT_MOVE_MS;
        if (isEnded.signal.aborted && phase === 'copy') releaseHandle(end?.handle);
      });
  });
  return {
    stoppedSignal: stopped.signal,
    finish: async () => {
      stopChecks();
      isEnded.abort();
      if (phase === 'stop') await moving;
      cancelTimer();
      // What is copied later is freed by the move itself.
      const result = end;
      if (moving !== undefined) end = undefined;
      return result;
    },
  };
}
