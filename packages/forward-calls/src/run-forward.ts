import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import {
  CALL_KINDS,
  type BackendEntry,
  type ResponseHead,
  type PlacementRequest,
} from '@laburnumshift/forward-types';
import { buildCacheScope } from '@laburnumshift/keep-pieces';
import type { Logger } from '@laburnumshift/logger';
import { createSuspectCall } from '@laburnumshift/quarantine-pieces';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import { addContentLength } from './add-content-length.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { buildPlacementRequest } from './build-placement-request.js';
import { chooseRunBackup } from './choose-run-backup.js';
import { dispatchCall } from './dispatch-call.js';
import { createEventSplitter } from './create-event-splitter.js';
import { createRunWeights } from './create-run-weights.js';
import { decideNextStep } from './decide-next-step.js';
import { estimateCall } from './estimate-call.js';
import { estimateOutputTokens } from './estimate-output-tokens.js';
import { findContinuation } from './find-continuation.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import { getCacheOwner } from './get-cache-owner.js';
import type { MatchedCall } from './matched-call.js';
import { MIN_RETRY_TIME_MS } from './min-retry-time-ms.js';
import { NOT_EXECUTED_STATUSES } from './not-executed-statuses.js';
import type { PendingContinuation } from './pending-continuation.js';
import { observePlainCall } from './observe-plain-call.js';
import { PASSING_REFUSALS } from './passing-refusals.js';
import { replyError } from './reply-error.js';
import { startRunMover } from './start-run-mover.js';
import { STOPPING_RETRY_AFTER_MS } from './stopping-retry-after-ms.js';

/** Number of attempts that may fail before anything is sent without using up `maxAttempts`; the next one goes to another server. */
const MAX_UNSENT_ATTEMPTS = 3;
/** Milliseconds for which a server that refuses connections gets no calls: half the duration of a short restart. */
const UNREACHABLE_AVOID_MS = 500;
/** Milliseconds for which a server that refused a call gets no others: it is full or is loading new weights. */
const REFUSED_AVOID_MS = 200;
/** Minimum limit on the connections from one host to one server, however many hosts share the server. */
const MIN_CONNECTIONS = 4;
/** Retry-After when the servers refused the call, in milliseconds: long enough for a short queue to change. */
const REFUSED_RETRY_AFTER_MS = 400;
/** Delay until a server is sought again for a stream that has begun, in milliseconds. */
const RESUME_RETRY_MS = 200;
/** Most times that one run continues from a copy: each needs the end of another engine. */
const MAX_CONTINUATIONS = 3;
/** Urgency sent to an engine when the priority is not a finite number. */
const DEFAULT_URGENCY = 5;
/** Least urgent value that engines accept; 0 is the most urgent. */
const MAX_URGENCY = 9;

/** Makes attempts until the caller has a final answer or has disconnected, then logs the outcome of the call. */
export async function runForward(
  deps: ForwarderDependencies,
  matchedCall: MatchedCall,
  logger: Logger,
): Promise<void> {
  const { call, route, account, service, reply, callerSignal, stopSignal } = matchedCall;
  const endSignal = AbortSignal.any([callerSignal, stopSignal]);
  const splitter = createEventSplitter(matchedCall.answerMemory);
  const suspectCall = createSuspectCall(call, account?.name, matchedCall.body);
  const triedServers = new Set<string>();
  const trail: Record<string, unknown>[] = [];
  const isRetryable =
    route.kind === CALL_KINDS.idempotent || (route.kind === CALL_KINDS.stream && route.isResumable);
  const urgency = Math.min(MAX_URGENCY, 2 * (account?.priority ?? route.priority));
  const sizedCall = { call, route, service, account, bodyBytes: matchedCall.body.length };
  const { callKind, costMs } = estimateCall(deps.costs, sizedCall);
  let attempts = 0;
  let firstMs: number | undefined;
  let lastEventAtMs: number | undefined;
  let longestPauseMs = 0;
  let unsentAttempts = 0;
  let mayHaveRun = false;
  let pending: PendingContinuation | undefined;
  let continuations = 0;
  /** Failure answer of a server, kept while another attempt is made. */
  let bufferedAnswer: Extract<AttemptOutcome, { kind: 'answered' }> | undefined;

  const recordOutcome = (
    outcome: string,
    status: number,
    reason: string,
    decision?: Readonly<Record<string, unknown>>,
  ): void => {
    const ms = Math.round(readMonotonicMs() - matchedCall.arrivedAtMs);
    deps.metrics.addToCounter('forwarded_calls_total', { route: route.name, outcome });
    deps.metrics.recordDuration('forwarded_call_ms', ms, { route: route.name });
    const fields = {
      request: call.id,
      route: route.name,
      service: service.name,
      account: account?.name,
      inputTokens: call.prompt?.inputTokens,
      expectedOutputTokens: call.prompt?.expectedOutputTokens,
      outcome,
      status,
      reason,
      ms,
      trail,
      decision,
    };
    if (outcome === 'served') logger.info('call ended', fields);
    else logger.warn('call ended', fields);
  };
  const relayAnswer = (head: ResponseHead, body: Buffer): void => {
    reply.sendHead(head.status, addContentLength(head, call.method, body.length));
    reply.end(body);
    recordOutcome(head.status < 400 ? 'served' : 'failed', head.status, 'server answered');
  };
  const refuse = (reason: string, retryAfterMs: number, inputs?: Readonly<Record<string, unknown>>): void => {
    if (reply.isHeadSent()) {
      reply.abort();
      recordOutcome('aborted', 0, reason, inputs);
      return;
    }
    if (bufferedAnswer !== undefined) {
      relayAnswer(bufferedAnswer.head, bufferedAnswer.body);
      return;
    }
    const status = mayHaveRun ? 502 : 503;
    replyError(deps.codec, reply, call.id, status, mayHaveRun ? undefined : retryAfterMs);
    recordOutcome(mayHaveRun ? 'failed' : 'refused', status, reason, { ...inputs, retryAfterMs });
  };

  const describeFailure = (status: number): string => {
    if (status !== 504) return 'no whole answer';
    return stopSignal.aborted ? 'the host is stopping' : 'time is over';
  };
  /** Answers the call when it must not be sent to any server; returns whether it did. */
  const refuseQuarantined = (): boolean => {
    const verdict = deps.quarantine.checkCall(suspectCall);
    if (verdict.kind !== 'refused') return false;
    const { trait, crashes, retryAfterMs } = verdict;
    refuse('servers crash under a part of the call', retryAfterMs, { trait, crashes });
    return true;
  };

  const buildScope = (version: number | undefined): string =>
    buildCacheScope(getCacheOwner(deps.fleet, account), call.prompt?.model ?? '', version);
  const buildCurrentRequest = (): PlacementRequest => {
    const now = readMonotonicMs();
    return buildPlacementRequest(deps, sizedCall, costMs, {
      remainingMs: matchedCall.endsAtMs - now,
      waitedMs: now - matchedCall.arrivedAtMs,
      isResend: attempts > 0,
      excluded: [...triedServers],
    });
  };

  /** Whether another attempt can follow when the one at `server` is abandoned now. */
  const hasOtherAttempt = (server: BackendEntry): boolean =>
    isRetryable &&
    attempts < route.maxAttempts &&
    matchedCall.endsAtMs - readMonotonicMs() >= MIN_RETRY_TIME_MS &&
    deps.resends.hasResend(service.name) &&
    deps.fleet.listBackends(service.name).some(({ id }) => id !== server.id && !triedServers.has(id));

  for (;;) {
    if (refuseQuarantined()) return;
    const continuation = pending;
    pending = undefined;
    const choice = continuation?.choice ?? (await deps.placer.placeCall(buildCurrentRequest, endSignal));
    if (choice === undefined && !callerSignal.aborted) {
      refuse('the host is stopping', STOPPING_RETRY_AFTER_MS);
      return;
    }
    if (choice === undefined) {
      recordOutcome('left', 0, 'caller left');
      return;
    }
    const isWaiting =
      choice.kind === 'refuse' &&
      reply.isHeadSent() &&
      PASSING_REFUSALS.has(choice.cause) &&
      matchedCall.endsAtMs - readMonotonicMs() >= MIN_RETRY_TIME_MS + RESUME_RETRY_MS;
    if (isWaiting) {
      await sleep(RESUME_RETRY_MS, endSignal);
      continue;
    }
    if (choice.kind === 'refuse') {
      refuse(choice.reason, choice.retryAfterMs, choice.inputs);
      return;
    }
    // Other hosts may have told of crashes while the call waited.
    if (refuseQuarantined()) return;
    const { server } = choice;
    const startedMs = readMonotonicMs();
    const remainingMs = Math.floor(matchedCall.endsAtMs - startedMs);
    const cacheScope = buildScope(choice.version);
    if (continuation === undefined) attempts += 1;
    else deps.limits.takeRoom(server);
    const excluded = new Set([...triedServers, server.id]);
    const backup = chooseRunBackup(deps, matchedCall, choice, { isRepeatable: isRetryable, excluded });
    if (backup !== undefined) deps.metrics.addToCounter('run_copies_total', { route: route.name });
    const { slowness } = deps.serverTracker.getState(server.id);
    const mayContinue = service.engine?.hasBackups === true || service.engine?.hasMoves === true;
    const runWeights =
      mayContinue && call.prompt !== undefined
        ? createRunWeights(deps, choice, call.prompt.model)
        : undefined;
    let connectionMs: number | undefined;
    let lastOwnEventMs: number | undefined;
    const mover =
      continuations < MAX_CONTINUATIONS && runWeights !== undefined
        ? startRunMover(deps, matchedCall, {
            choice,
            runWeights,
            isRepeatable: isRetryable,
            excluded,
            getLastEventMs: () => lastOwnEventMs,
          })
        : undefined;
    const attemptOutcome = await dispatchCall(deps, {
      matchedCall,
      suspectCall,
      server,
      maxConnections: Math.max(
        MIN_CONNECTIONS,
        Math.floor(service.maxConnections / (deps.sharing.countCoveredHosts() + 2)),
      ),
      backendCall: {
        call,
        remainingMs,
        expectedServer: server.id,
        account: account?.name,
        ...(choice.transfers !== undefined && {
          engine: {
            expectedVersion: choice.version,
            cacheScope,
            urgency: Number.isFinite(urgency) ? urgency : DEFAULT_URGENCY,
            transfers: choice.transfers,
            backupAddress: backup?.server.address,
            continuation: continuation?.memory,
          },
        }),
        resumeAfter: splitter.getLastEventId(),
      },
      work: {
        uncachedTokens: choice.uncachedTokens,
        totalTokens: call.prompt === undefined ? 0 : estimateHeldTokens(call.prompt),
        expectedMs: costMs,
      },
      expectedMs: call.prompt === undefined ? 0 : choice.expectedMs,
      splitter,
      runWeights,
      canRetry: () => hasOtherAttempt(server),
      isReturning: continuation?.isReturning ?? false,
      stoppedSignal: mover?.stoppedSignal,
      onConnection: () => {
        connectionMs = Math.round(readMonotonicMs() - startedMs);
      },
      onEvents: () => {
        const now = readMonotonicMs();
        if (lastEventAtMs !== undefined)
          longestPauseMs = Math.max(longestPauseMs, Math.round(now - lastEventAtMs));
        lastEventAtMs = now;
        lastOwnEventMs = now;
      },
      onFirstEvent: () => {
        firstMs = Math.round(readMonotonicMs() - startedMs);
        const readTokens = choice.queueTokens + choice.uncachedTokens;
        deps.serverTracker.observePrefill(service.name, readTokens, firstMs / slowness);
        if (choice.fetch !== undefined)
          deps.serverTracker.observeFetchDelay(choice.fetch, firstMs - choice.expectedMs);
        deps.metrics.recordDuration('first_event_ms', firstMs, { route: route.name });
        const pieces = deps.serverTracker.getPieceTable(server.id);
        for (const { id, tokens } of call.prompt?.pieces ?? []) pieces.addPiece(cacheScope, id, tokens);
      },
    }).catch((error: unknown) => {
      // An error of the host must not keep the copy counted or the run watched.
      backup?.release();
      void mover?.finish();
      throw error;
    });
    const moveEnd = await mover?.finish();
    const nextContinuation =
      continuations < MAX_CONTINUATIONS
        ? await findContinuation(deps, matchedCall, {
            choice,
            backup,
            moveEnd,
            runWeights,
            outcome: attemptOutcome,
            isRepeatable: isRetryable,
            isSameScope: () => cacheScope === buildScope(choice.version),
            signal: endSignal,
          })
        : undefined;
    backup?.release();
    if (continuation !== undefined)
      deps.metrics.addToCounter('run_continuations_total', {
        from: continuation.from,
        result: attemptOutcome.kind,
      });
    if (call.prompt === undefined) {
      const elapsedMs = readMonotonicMs() - startedMs;
      const { expectedMs } = choice;
      const sentCall = { kind: callKind, server: server.id, costMs, expectedMs, slowness, elapsedMs };
      observePlainCall(deps, sentCall, attemptOutcome);
    }
    if (attemptOutcome.kind === 'delivered' && firstMs !== undefined && continuation === undefined) {
      const readMs = choice.uncachedTokens / deps.serverTracker.getPrefillRate(service.name);
      const decodeMs = (readMonotonicMs() - startedMs - firstMs) / slowness;
      deps.serverTracker.observeRun(service.name, readMs + decodeMs);
      if (mayContinue && call.prompt !== undefined)
        deps.runCopies.tokenTimes.observeRun(service.name, estimateOutputTokens(call.prompt), decodeMs);
    }
    const isRefusedContinuation = continuation !== undefined && attemptOutcome.kind === 'not-run';
    if (attemptOutcome.kind === 'not-run' && !attemptOutcome.isSent) {
      if (continuation === undefined) attempts -= 1;
      unsentAttempts += 1;
      deps.serverTracker.avoidServer(server.id, UNREACHABLE_AVOID_MS);
    }
    if (attemptOutcome.kind === 'not-run' && attemptOutcome.isSent && continuation === undefined)
      deps.serverTracker.avoidServer(server.id, REFUSED_AVOID_MS);
    // An engine without the copy may still run a call anew.
    if (!isRefusedContinuation) triedServers.add(server.id);
    if (attemptOutcome.kind === 'answered' && !NOT_EXECUTED_STATUSES.has(attemptOutcome.head.status))
      bufferedAnswer = attemptOutcome;
    if (
      attemptOutcome.kind === 'broken' ||
      attemptOutcome.kind === 'cut' ||
      attemptOutcome.kind === 'answered' ||
      attemptOutcome.kind === 'ended'
    )
      mayHaveRun = true;
    trail.push({
      server: server.id,
      expectedMs: Math.round(choice.expectedMs),
      uncachedTokens: Math.round(choice.uncachedTokens),
      memoryShare: choice.memoryShare,
      fetchFrom: choice.transfers?.fetchFrom,
      saveTo: choice.transfers?.saveTo,
      version: choice.version,
      copyAt: backup?.server.id,
      copyCostMs: backup && Math.round(backup.choice.costMs),
      copyGainMs: backup && Math.round(backup.choice.gainMs),
      continuedFrom: continuation?.from,
      hasOtherWeights: runWeights?.isUnchanged() === false ? true : undefined,
      move: moveEnd && { reason: moveEnd.reason, step: moveEnd.step, holder: moveEnd.holder?.id },
      end: attemptOutcome.kind,
      connectionMs,
      firstMs,
      lastEvent: splitter.getLastEventId(),
      longestPauseMs,
      reason: 'reason' in attemptOutcome ? attemptOutcome.reason : undefined,
      ms: Math.round(readMonotonicMs() - startedMs),
    });
    const nextStep = decideNextStep(
      {
        attempts,
        maxAttempts: route.maxAttempts,
        unsentAttempts,
        maxUnsentAttempts: MAX_UNSENT_ATTEMPTS,
        remainingMs: matchedCall.endsAtMs - readMonotonicMs(),
        isRetryable,
        mayHaveRun,
        continueFrom: nextContinuation?.from,
        isHeadSent: reply.isHeadSent(),
        isCallerGone: matchedCall.callerSignal.aborted,
      },
      isRefusedContinuation ? continuation.brokenOutcome : attemptOutcome,
    );
    if (
      moveEnd?.handle !== undefined &&
      (nextStep.kind !== 'continue' || nextContinuation?.from !== 'handle')
    )
      void deps.freeHandle(server.address, moveEnd.handle);
    // The engine may not have got the request, and then holds the memory of the run still.
    if (
      continuation?.from === 'handle' &&
      lastOwnEventMs === undefined &&
      attemptOutcome.kind !== 'delivered'
    )
      void deps.freeHandle(continuation.memory.sourceAddress, continuation.memory.memoryId);
    if (nextStep.kind === 'continue') {
      pending = nextContinuation;
      continuations += 1;
      continue;
    }
    if (nextStep.kind === 'send') continue;
    if (nextStep.kind === 'done') {
      if (attemptOutcome.kind === 'delivered') recordOutcome('served', attemptOutcome.status, '');
      else recordOutcome('left', 0, 'caller left');
    } else if (nextStep.kind === 'pass') {
      relayAnswer(nextStep.head, nextStep.body);
    } else if (nextStep.kind === 'refuse') {
      refuse('servers refused the call', REFUSED_RETRY_AFTER_MS);
    } else if (nextStep.kind === 'fail' && bufferedAnswer !== undefined && nextStep.status !== 504) {
      relayAnswer(bufferedAnswer.head, bufferedAnswer.body);
    } else if (nextStep.kind === 'fail') {
      replyError(deps.codec, reply, call.id, nextStep.status, undefined);
      recordOutcome('failed', nextStep.status, describeFailure(nextStep.status));
    } else {
      reply.abort();
      recordOutcome('aborted', 0, 'stream broke off');
    }
    return;
  }
}
