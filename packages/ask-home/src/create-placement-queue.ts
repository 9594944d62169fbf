import { buildRefusal, REFUSAL_CAUSES, type ServerChoice } from '@laburnumshift/choose-server';
import { createSharedInterval, readMonotonicMs } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { RoomForecast } from '@laburnumshift/limit-server-rates';
import { createLogger } from '@laburnumshift/logger';
import { createMemoryReservations } from './create-memory-reservations.js';
import { createRetrySchedule } from './create-retry-schedule.js';
import { createQueueWaitEstimator } from './create-queue-wait-estimator.js';
import { RETRY_BOUNDS } from '@laburnumshift/place-calls';
import type { PlacementQueueOptions } from './placement-queue-options.js';
import { PLACEMENT_TIMING } from './placement-timing.js';
import type { PlacementQueue } from './placement-queue.js';

/** Maximum number of queued placement requests. Further ones are answered with `wait` at once, and their hosts ask again later. */
const MAX_QUEUED = 512;
/** Maximum number of queued placement requests that are decided again at each check for free capacity, and before each new one. */
const MAX_DECISIONS_PER_POLL = 48;
const MAX_DECISIONS_PER_REQUEST = 6;
/** Retry-After of a call that was not executed and may not be sent again, milliseconds: a fraction of the window of the resend budget. */
const RESEND_BUDGET_RETRY_AFTER_MS = 500;
/** Maximum expected queue wait as a share of the target time to first token. A call with a longer expected wait is refused on arrival. */
const MAX_QUEUE_WAIT_SHARE = 0.2;
/** The same for a wait until servers at their limits take further calls: these are not slow, so the rest of the time suffices. */
const MAX_ROOM_WAIT_SHARE = 0.5;

interface QueuedRequest {
  readonly request: PlacementRequest;
  readonly onChoice: (choice: ServerChoice) => void;
  readonly queuedAtMs: number;
}

/**
 * Creates a placement queue. Under overload, calls wait here until a server has free capacity, ordered by priority and then by time
 * waited; a new call does not overtake queued calls. Queued calls are decided by the same rule as new ones, so a call is refused as soon
 * as more waiting cannot help it.
 */
export function createPlacementQueue({
  chooseServer,
  recordFirstAttempt,
  takeResend,
}: PlacementQueueOptions): PlacementQueue {
  const logger = createLogger('placement');
  const pollCapacity = createSharedInterval(PLACEMENT_TIMING.capacityPollMs);
  const waitEstimator = createQueueWaitEstimator();
  const retrySchedule = createRetrySchedule();
  const memoryReservations = createMemoryReservations();
  let queue: QueuedRequest[] = [];
  let stopPolling: (() => void) | undefined;

  const computeWaitedMs = ({ request, queuedAtMs }: QueuedRequest): number =>
    request.waitedMs + readMonotonicMs() - queuedAtMs;
  const listAhead = (request: PlacementRequest): readonly QueuedRequest[] =>
    queue.filter(
      (entry) =>
        entry.request.priority < request.priority ||
        (entry.request.priority === request.priority && computeWaitedMs(entry) >= request.waitedMs),
    );
  const countAhead = (request: PlacementRequest): number => listAhead(request).length;
  const scheduleRetry = (request: PlacementRequest, minRetryMs: number): number =>
    waitEstimator.scheduleRetry(
      request.priority,
      countAhead(request),
      minRetryMs,
      Math.max(minRetryMs, request.remainingMs * RETRY_BOUNDS.maxRemainingShare),
    );
  const decide = (request: PlacementRequest): ServerChoice => {
    const choice = chooseServer(request, (engine, engineCount, capacityTokens) =>
      memoryReservations.getReservedTokens(request, engine, engineCount, capacityTokens),
    );
    if (choice.kind === 'wait' && choice.memory !== undefined)
      memoryReservations.reserveEngine(request, choice.memory.engine, choice.memory.neededTokens);
    else memoryReservations.releaseCall(request.callId);
    if (choice.kind === 'wait' && choice.room !== undefined)
      return checkRoomWait(request, choice.room) ?? choice;
    if (choice.kind === 'refuse' && choice.cause === REFUSAL_CAUSES.noCapacity)
      return { ...choice, retryAfterMs: scheduleRetry(request, choice.retryAfterMs) };
    if (choice.kind !== 'server') return choice;
    if (request.isResend && !takeResend(request.service))
      return buildRefusal(REFUSAL_CAUSES.resendBudgetUsedUp, RESEND_BUDGET_RETRY_AFTER_MS);
    waitEstimator.recordPlacement(request.priority);
    return choice;
  };
  /** Refuses a call to servers at their limits that would wait too long for its turn; else `undefined`. */
  const checkRoomWait = (request: PlacementRequest, room: RoomForecast): ServerChoice | undefined => {
    const ahead = listAhead(request).filter(
      (entry) => entry.request.service === request.service && entry.request.callId !== request.callId,
    );
    const waitMs = room.firstMs + ahead.length * room.perCallMs;
    if (request.waitedMs + waitMs <= request.targetMs * MAX_ROOM_WAIT_SHARE) return undefined;
    const maxRetryMs = Math.max(RETRY_BOUNDS.minMs, request.remainingMs * RETRY_BOUNDS.maxRemainingShare);
    const retryAfterMs = retrySchedule.scheduleRetry(
      request.service,
      request.priority,
      room.perCallMs,
      Math.max(RETRY_BOUNDS.minMs, waitMs),
      maxRetryMs,
    );
    return buildRefusal(REFUSAL_CAUSES.allLimited, retryAfterMs);
  };
  /** Refuses a call without free capacity when its expected queue wait exceeds `MAX_QUEUE_WAIT_SHARE` of its target; else `undefined`. */
  const checkQueueWait = (request: PlacementRequest): ServerChoice | undefined => {
    const waitMs = waitEstimator.estimateWaitMs(request.priority, countAhead(request));
    if (waitMs <= request.targetMs * MAX_QUEUE_WAIT_SHARE) return undefined;
    return buildRefusal(REFUSAL_CAUSES.noCapacity, scheduleRetry(request, RETRY_BOUNDS.minMs));
  };
  const decideEntry = (entry: QueuedRequest): ServerChoice => {
    const waitedMs = readMonotonicMs() - entry.queuedAtMs;
    const { request } = entry;
    return decide({
      ...request,
      waitedMs: request.waitedMs + waitedMs,
      remainingMs: request.remainingMs - waitedMs,
    });
  };
  /** Decides a queued request. An error refuses that request, so that the others are still decided. */
  const decideSafely = (entry: QueuedRequest): ServerChoice => {
    try {
      return decideEntry(entry);
    } catch (error) {
      const detail = String((error as Error).stack ?? error);
      logger.error('queued call could not be decided', { request: entry.request.callId, detail });
      return buildRefusal(REFUSAL_CAUSES.noServer, RETRY_BOUNDS.minMs);
    }
  };
  const drainQueue = (maxDecisions: number): void => {
    const now = readMonotonicMs();
    const finished = new Set<QueuedRequest>();
    for (const [index, entry] of queue.entries()) {
      const isExpired = now - entry.queuedAtMs >= PLACEMENT_TIMING.maxQueueMs;
      if (index >= maxDecisions && !isExpired) continue;
      const choice = index < maxDecisions ? decideSafely(entry) : ({ kind: 'wait' } as const);
      if (choice.kind === 'wait' && !isExpired) continue;
      finished.add(entry);
      entry.onChoice(choice);
    }
    if (finished.size === 0) return;
    queue = queue.filter((entry) => !finished.has(entry));
    if (queue.length > 0) return;
    stopPolling?.();
    stopPolling = undefined;
  };

  return {
    submitPlacementRequest: (request, onChoice) => {
      if (queue.length > 0) drainQueue(MAX_DECISIONS_PER_REQUEST);
      // A call that has waited for longer was asked for and counted before.
      const isFirstRequest = !request.isResend && request.waitedMs < PLACEMENT_TIMING.maxQueueMs;
      if (isFirstRequest) recordFirstAttempt(request.service);
      const decided = decide(request);
      if (isFirstRequest && decided.kind === 'wait' && decided.memory !== undefined)
        memoryReservations.observeNeed(request);
      const hasToQueue = decided.kind === 'wait' && decided.room === undefined;
      const choice = hasToQueue ? (checkQueueWait(request) ?? decided) : decided;
      if (choice.kind === 'refuse') memoryReservations.releaseCall(request.callId);
      if (choice.kind !== 'wait' || queue.length >= MAX_QUEUED) {
        onChoice(choice);
        return false;
      }
      queue.push({ request, onChoice, queuedAtMs: readMonotonicMs() });
      queue.sort(
        (a, b) => a.request.priority - b.request.priority || computeWaitedMs(b) - computeWaitedMs(a),
      );
      stopPolling ??= pollCapacity(() => {
        drainQueue(MAX_DECISIONS_PER_POLL);
      });
      return true;
    },
    countQueued: () => queue.length,
  };
}
