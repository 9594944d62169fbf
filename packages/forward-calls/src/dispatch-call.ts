import { COLLECT_FAULTS, createByteCollector, type CollectFault } from '@laburnumshift/collect-bytes';
import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import { CALL_KINDS, type ResponseHead } from '@laburnumshift/forward-types';
import type { OutgoingCall } from '@laburnumshift/call-backend';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { AttemptInput } from './attempt-input.js';
import { findAllowedTarget } from './find-allowed-target.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import { recordUnreadableLoad } from './record-unreadable-load.js';
import { watchProgress } from './watch-progress.js';

/** Milliseconds after the deadline of the call in which the server can still answer that the deadline has passed. */
const DEADLINE_GRACE_MS = 150;
/** Maximum size of the body of an answer that is no stream, in bytes. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Milliseconds for which a server that sent bytes without end gets no calls while others are left: a short restart. */
const ENDLESS_PAUSE_MS = 2000;
/** Number of such answers in a row from which on the server gets no calls at all for that time. */
const MAX_ENDLESS_ANSWERS = 3;

const LAST_WHITE_SPACE = 0x20;
/** True when the bytes after the last event are at most empty lines. */
const isBlank = (bytes: Buffer): boolean => bytes.every((byte) => byte <= LAST_WHITE_SPACE);

/**
 * Sends a call to one server. The events of a stream are written to the caller as they arrive; any other answer is buffered and
 * returned whole.
 */
export function dispatchCall(deps: ForwarderDependencies, input: AttemptInput): Promise<AttemptOutcome> {
  const { matchedCall, server, splitter, backendCall } = input;
  const { reply, route } = matchedCall;
  const tracked = deps.serverTracker.beginCall(server.id, input.work);

  return new Promise((resolve) => {
    const buffered = createByteCollector({
      maxBytes: MAX_BUFFERED_BYTES,
      reservation: matchedCall.answerMemory,
    });
    let head: ResponseHead | undefined;
    let isPending = true;
    let hasFirstEvent = false;
    const isResumed = reply.isHeadSent();

    const finish = (outcome: AttemptOutcome, result: Parameters<typeof tracked.finish>[0]): void => {
      if (!isPending) return;
      isPending = false;
      stopDeadlineTimer();
      progressWatch.stop();
      observed.finish('open');
      matchedCall.callerSignal.removeEventListener('abort', handleCallerGone);
      matchedCall.stopSignal.removeEventListener('abort', handleStop);
      input.stoppedSignal?.removeEventListener('abort', handleStopped);
      tracked.finish(result);
      if (outcome.kind !== 'answered') buffered.clear();
      resolve(outcome);
    };
    const cancel = (outcome: AttemptOutcome, result: Parameters<typeof tracked.finish>[0]): void => {
      sentCall.cancel();
      finish(outcome, result);
    };
    const handleCallerGone = (): void => {
      cancel({ kind: 'ended' }, 'cancelled');
    };
    const handleStop = (): void => {
      if (sentCall.isSent()) cancel({ kind: 'ended' }, 'cancelled');
      else cancel({ kind: 'not-run', reason: 'the host is stopping', isSent: false }, 'cancelled');
    };
    const handleStopped = (): void => {
      cancel(buildBrokenOutcome('the run was stopped for a move'), 'cancelled');
    };
    const stopDeadlineTimer = startTimer(
      Math.max(0, matchedCall.endsAtMs - readMonotonicMs()) + DEADLINE_GRACE_MS,
      () => {
        cancel({ kind: 'ended' }, 'cancelled');
      },
    );
    const buildBrokenOutcome = (reason: string): AttemptOutcome => {
      // An engine may stop a run within the event that names its new weights.
      input.runWeights?.observeEvents(splitter.getPartialEvent());
      splitter.clearPartialEvent();
      return reply.isHeadSent() ? { kind: 'cut', reason } : { kind: 'broken', reason };
    };
    /** Leaves a server alone that only sends such answers, as they cost the host more time than any others. */
    const handleEndlessAnswer = (): void => {
      deps.serverTracker.avoidServer(server.id, ENDLESS_PAUSE_MS);
      if (deps.serverTracker.recordEndlessAnswer(server.id) >= MAX_ENDLESS_ANSWERS)
        deps.notices.markPaused(server, ENDLESS_PAUSE_MS);
    };
    const cancelUnkept = (what: string, fault: CollectFault): void => {
      if (fault === COLLECT_FAULTS.tooSmallChunks) handleEndlessAnswer();
      cancel(buildBrokenOutcome(`${what}: ${fault}`), 'failed');
    };
    const isStreamAnswer = (): boolean => head?.status === 200 && route.kind === CALL_KINDS.stream;
    const relayEvents = (events: Buffer): void => {
      if (head === undefined) return;
      input.onEvents();
      input.runWeights?.observeEvents(events);
      progressWatch.observeProgress();
      observed.observeEvents();
      if (!hasFirstEvent) {
        hasFirstEvent = true;
        tracked.observeFirstEvent();
        input.onFirstEvent();
      }
      if (!reply.isHeadSent()) reply.sendHead(head.status, head.forwardedHeaders);
      if (!reply.write(events)) {
        sentCall.pause();
        progressWatch.setPaused(true);
        reply.onDrain(() => {
          progressWatch.setPaused(false);
          sentCall.resume();
        });
      }
    };

    matchedCall.callerSignal.addEventListener('abort', handleCallerGone);
    matchedCall.stopSignal.addEventListener('abort', handleStop);
    input.stoppedSignal?.addEventListener('abort', handleStopped);
    const progressWatch = watchProgress(deps, {
      callId: matchedCall.call.id,
      server,
      canRetry: input.canRetry,
      isEngine: matchedCall.call.prompt !== undefined,
      bodyBytes: matchedCall.body.length,
      hasFetch: backendCall.engine?.transfers.fetchFrom.some((source) => source !== undefined) ?? false,
      expectedMs: input.expectedMs,
      onStalled: (reason) => {
        if (sentCall.isSent()) cancel(buildBrokenOutcome(reason), 'failed');
        else cancel({ kind: 'not-run', reason: 'no connection was free', isSent: false }, 'cancelled');
      },
    });
    const observed = deps.quarantine.beginAttempt(server, input.suspectCall, (reason) => {
      // A server that has sent events runs the call already, and a cut would be final for most streams.
      if (hasFirstEvent) return;
      if (sentCall.isSent()) cancel(buildBrokenOutcome(reason), 'cancelled');
      else cancel({ kind: 'not-run', reason, isSent: false }, 'cancelled');
    });
    const sentCall: OutgoingCall = deps.pool.sendCall(
      server,
      input.maxConnections,
      backendCall,
      matchedCall.body,
      {
        isSendAllowed: () => {
          input.onConnection();
          return findAllowedTarget(deps, server, undefined, input.isReturning) !== undefined;
        },
        onHeaders: (received) => {
          head = received;
          tracked.observeBytes();
          input.runWeights?.observeHead(received);
          // Servers that leave or state a limit refuse calls also when their queue is not full.
          const isFull = received.isNotExecuted && !received.isLeaving && received.limitPerS === undefined;
          if (received.load !== undefined) deps.serverTracker.observeLoad(server.id, received.load, isFull);
          if (received.isLoadUnreadable === true) recordUnreadableLoad(deps, server);
          if (received.isLeaving) deps.notices.markLeaving(server);
          if (received.coldMs !== undefined) deps.fleet.markCold(server, received.coldMs);
          if (received.pauseMs !== undefined) deps.notices.markPaused(server, received.pauseMs);
          const isSuccess = received.status >= 200 && received.status < 300;
          // Only a success of the server itself shows that it has no limit any more.
          if (
            received.limitPerS !== undefined ||
            (isSuccess && received.isSealed && !received.isLimitUnreadable)
          )
            deps.limits.observeLimit(server, received.limitPerS);
          if (received.isNotExecuted || received.isWrongInstance) {
            // The headers suffice for the decision. The body is not awaited, because an overloaded server may never finish it.
            const reason = received.isWrongInstance ? 'another process or version' : 'server is full';
            sentCall.discard();
            finish({ kind: 'not-run', reason, isSent: true }, 'refused');
            return;
          }
          if (isSuccess && (!received.isSealed || received.hasContentCoding))
            cancel(buildBrokenOutcome('the answer has no response seal or has a content encoding'), 'failed');
        },
        onBodyBytes: (bytes) => {
          tracked.observeBytes();
          if (isStreamAnswer()) {
            const events = splitter.addBytes(bytes, isResumed);
            if (events === 'foreign')
              cancel(buildBrokenOutcome('the answer does not continue the stream'), 'failed');
            else if (events !== undefined) relayEvents(events);
            const eventFault = splitter.getFault();
            if (eventFault !== undefined) cancelUnkept('event', eventFault);
            return;
          }
          progressWatch.observeProgress();
          const fault = buffered.addChunk(bytes);
          if (fault !== undefined) cancelUnkept('answer', fault);
        },
        onEnd: () => {
          if (head === undefined) return;
          if (!isStreamAnswer()) {
            const isFailure = head.status >= 500;
            observed.finish('whole');
            finish({ kind: 'answered', head, body: buffered.getBytes() }, isFailure ? 'failed' : 'served');
            return;
          }
          const partialEvent = splitter.getPartialEvent();
          const isWithinEvent = !isBlank(partialEvent);
          if (isWithinEvent || (!hasFirstEvent && !head.hasLength)) {
            observed.finish('broken');
            const where = isWithinEvent ? 'within an event' : 'without events';
            finish(buildBrokenOutcome(`stream ended ${where}`), 'failed');
            return;
          }
          if (partialEvent.length > 0) relayEvents(partialEvent);
          if (!reply.isHeadSent()) reply.sendHead(head.status, head.forwardedHeaders);
          reply.end();
          observed.finish('whole');
          finish({ kind: 'delivered', status: head.status }, 'served');
        },
        onFailure: ({ type, reason, isEndless }) => {
          if (isEndless === true) handleEndlessAnswer();
          if (type === 'not-sent') {
            finish({ kind: 'not-run', reason, isSent: false }, 'failed');
          } else {
            observed.finish('broken');
            finish(buildBrokenOutcome(reason), 'failed');
          }
        },
      },
    );
  });
}
