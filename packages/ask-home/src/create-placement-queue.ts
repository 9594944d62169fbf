import { buildRefusal, REFUSAL_CAUSES, type ServerChoice } from '@laburnumshift/choose-server';
import { createSharedInterval, readMonotonicMs } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { RoomForecast } from '@laburnumshift/limit-server-rates';
import { createLogger } from '@laburnumshift/logger';
import { createAccountShares } from './create-account-shares.js';
import { createMemoryReservations } from './create-memory-reservations.js';
import { createRetrySchedule } from './create-retry-schedule.js';
import { createPriorityShares } from './create-priority-shares.js';
import { createQueueWaitEstimator } from './create-queue-wait-estimator.js';
import { RETRY_BOUNDS } from '@laburnumshift/place-calls';
import { createReturnOrders } from './create-return-orders.js';
import type { PlacementQueueOptions } from './placement-queue-options.js';
import { PLACEMENT_TIMING } from './placement-timing.js';
import type { QueueWaitEstimator } from './queue-wait-estimator.js';
import type { PlacementQueue } from './placement-queue.js';
import type { QueueEffects } from './queue-effects.js';

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
/**
 * Share of the freed capacity that is promised to returning callers; the rest serves new calls while they can still meet their target.
 * With a share of 1 every call is refused once and then late.
 */
const PROMISED_SHARE = 0.3;
/** Maximum number of services whose placement rate is measured. */
const MAX_SERVICES = 256;

/** Position of a call among those that wait. */
interface QueuePosition {
  readonly service: string;
  readonly priority: number;
  /** Whether the caller was refused before and came at the time that it was told. */
  readonly isReturn: boolean;
  /** Time at which the call arrived at its host, monotonic milliseconds. */
  readonly sinceMs: number;
  /** The same, later for an account that has more than an equal share of the capacity. */
  readonly rankMs: number;
}
interface QueuedRequest {
  readonly position: QueuePosition;
  readonly request: PlacementRequest;
  readonly onChoice: (choice: ServerChoice) => void;
  readonly queuedAtMs: number;
}

const comparePositions = (a: QueuePosition, b: QueuePosition): number =>
  a.priority - b.priority || Number(b.isReturn) - Number(a.isReturn) || a.rankMs - b.rankMs;

/**
 * Creates a placement queue. Under overload, calls wait here until a server has free capacity, ordered by priority, then returning
 * callers that were told this time, then by time waited, with a delay for accounts that have more than an equal share. A new call does
 * not overtake queued calls. Queued calls are decided by the same rule as new ones, so a call is refused as soon as more waiting cannot
 * help it.
 */
export function createPlacementQueue({
  chooseServer,
  recordFirstAttempt,
  takeResend,
  metrics,
}: PlacementQueueOptions): PlacementQueue {
  const logger = createLogger('placement');
  const pollCapacity = createSharedInterval(PLACEMENT_TIMING.capacityPollMs);
  const retrySchedule = createRetrySchedule();
  const memoryReservations = createMemoryReservations();
  const returnOrders = createReturnOrders();
  const accountShares = createAccountShares();
  const priorityShares = createPriorityShares();
  const waitEstimators = new Map<string, QueueWaitEstimator>();
  let queue: QueuedRequest[] = [];
  let stopPolling: (() => void) | undefined;

  /** Services do not share servers, so the rate of one says nothing about another. */
  const getWaitEstimator = (service: string): QueueWaitEstimator => {
    const estimator = waitEstimators.get(service) ?? createQueueWaitEstimator();
    waitEstimators.delete(service);
    waitEstimators.set(service, estimator);
    const [oldest] = waitEstimators.keys();
    if (waitEstimators.size > MAX_SERVICES && oldest !== undefined) waitEstimators.delete(oldest);
    return estimator;
  };
  const listAhead = (position: QueuePosition): readonly QueuedRequest[] =>
    queue.filter(
      (entry) =>
        entry.position.service === position.service && comparePositions(entry.position, position) <= 0,
    );
  const effects: QueueEffects = {
    chooseServer,
    takeResend,
    getWaitEstimator,
    scheduleRoomRetry: retrySchedule.scheduleRetry,
    reserveEngine: memoryReservations.reserveEngine,
    addOrder: (request, retryAfterMs) => {
      returnOrders.addOrder(request, retryAfterMs);
      metrics?.addToCounter('promised_retries_total', { event: 'promised' });
    },
    recordPlacement: (request) => {
      getWaitEstimator(request.service).recordPlacement(request.priority);
      accountShares.recordPlacement(request);
      priorityShares.recordPlacement(request);
    },
  };
  const buildReadingEffects = (chooseReading: PlacementQueueOptions['chooseServer']): QueueEffects => ({
    chooseServer: chooseReading,
    takeResend: () => true,
    getWaitEstimator: (service) => {
      const estimator = waitEstimators.get(service) ?? createQueueWaitEstimator();
      return { ...estimator, scheduleRetry: estimator.estimateRetryMs };
    },
    scheduleRoomRetry: retrySchedule.estimateRetryMs,
    reserveEngine: () => undefined,
    addOrder: () => undefined,
    recordPlacement: () => undefined,
  });
  /** Returns the time after which the caller should retry, milliseconds, and promises it its turn then if it can wait so long. */
  const scheduleRetry = (
    request: PlacementRequest,
    position: QueuePosition,
    fallbackMs: number,
    used: QueueEffects,
  ): number => {
    const estimator = used.getWaitEstimator(request.service);
    const minRetryMs = estimator.hasRate() ? RETRY_BOUNDS.minMs : fallbackMs;
    const maxRetryMs = Math.max(minRetryMs, request.remainingMs * RETRY_BOUNDS.maxRemainingShare);
    const retryAfterMs = estimator.scheduleRetry(
      request.priority,
      listAhead(position).length,
      minRetryMs,
      maxRetryMs,
      1 / PROMISED_SHARE,
    );
    if (retryAfterMs < maxRetryMs) used.addOrder(request, retryAfterMs);
    return retryAfterMs;
  };
  const decide = (
    request: PlacementRequest,
    position: QueuePosition,
    used: QueueEffects = effects,
  ): ServerChoice => {
    const isStarved = priorityShares.isStarved(request);
    // A priority below its minimum share is admitted by the limits of the most urgent calls, and need not leave memory for them.
    const choice = isStarved
      ? used.chooseServer({ ...request, priority: 0 }, () => 0)
      : used.chooseServer(request, (engine, engineCount, capacityTokens) =>
          memoryReservations.getReservedTokens(request, engine, engineCount, capacityTokens),
        );
    if (choice.kind === 'wait' && choice.memory !== undefined)
      used.reserveEngine(request, choice.memory.engine, choice.memory.neededTokens);
    if (choice.kind === 'wait' && choice.room !== undefined)
      return checkRoomWait(request, position, choice.room, used) ?? choice;
    if (choice.kind === 'refuse' && choice.cause === REFUSAL_CAUSES.noCapacity)
      return {
        ...choice,
        retryAfterMs: scheduleRetry(request, position, choice.retryAfterMs, used),
        inputs: { ...choice.inputs, ahead: listAhead(position).length, isReturn: Number(position.isReturn) },
      };
    if (choice.kind !== 'server') return choice;
    if (request.isResend && !used.takeResend(request.service))
      return buildRefusal(REFUSAL_CAUSES.resendBudgetUsedUp, RESEND_BUDGET_RETRY_AFTER_MS);
    used.recordPlacement(request);
    return choice;
  };
  /** Refuses a call to servers at their limits that would wait too long for its turn; else `undefined`. */
  const checkRoomWait = (
    request: PlacementRequest,
    position: QueuePosition,
    room: RoomForecast,
    used: QueueEffects,
  ): ServerChoice | undefined => {
    const ahead = listAhead(position).filter((entry) => entry.request.callId !== request.callId);
    const waitMs = room.firstMs + ahead.length * room.perCallMs;
    if (request.waitedMs + waitMs <= request.targetMs * MAX_ROOM_WAIT_SHARE) return undefined;
    const maxRetryMs = Math.max(RETRY_BOUNDS.minMs, request.remainingMs * RETRY_BOUNDS.maxRemainingShare);
    const retryAfterMs = used.scheduleRoomRetry(
      request.service,
      request.priority,
      room.perCallMs,
      Math.max(RETRY_BOUNDS.minMs, waitMs),
      maxRetryMs,
    );
    used.addOrder(request, retryAfterMs);
    return buildRefusal(REFUSAL_CAUSES.allLimited, retryAfterMs);
  };
  /** Refuses a call without free capacity when its expected queue wait exceeds `MAX_QUEUE_WAIT_SHARE` of its target; else `undefined`. */
  const checkQueueWait = (
    request: PlacementRequest,
    position: QueuePosition,
    used: QueueEffects,
  ): ServerChoice | undefined => {
    const estimator = used.getWaitEstimator(request.service);
    const waitMs = estimator.estimateWaitMs(request.priority, listAhead(position).length);
    if (waitMs <= request.targetMs * MAX_QUEUE_WAIT_SHARE) return undefined;
    const retryAfterMs = scheduleRetry(request, position, RETRY_BOUNDS.minMs, used);
    return buildRefusal(REFUSAL_CAUSES.noCapacity, retryAfterMs);
  };
  const buildPosition = (request: PlacementRequest, isReturn: boolean): QueuePosition => {
    const sinceMs = readMonotonicMs() - request.waitedMs;
    return {
      service: request.service,
      priority: request.priority,
      isReturn,
      sinceMs,
      rankMs: sinceMs + accountShares.computeExcessShare(request) * request.targetMs,
    };
  };
  /** Refuses a request that has to queue for too long; else returns the choice. */
  const limitWait = (
    request: PlacementRequest,
    position: QueuePosition,
    decided: ServerChoice,
    used: QueueEffects,
  ): ServerChoice => {
    const hasToQueue = decided.kind === 'wait' && decided.room === undefined;
    return hasToQueue ? (checkQueueWait(request, position, used) ?? decided) : decided;
  };
  const decideEntry = ({ request, position }: QueuedRequest): ServerChoice => {
    const waitedMs = readMonotonicMs() - position.sinceMs;
    const remainingMs = request.remainingMs - (waitedMs - request.waitedMs);
    return decide({ ...request, waitedMs, remainingMs }, position);
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
  const releaseCall = (callId: string): void => {
    memoryReservations.releaseCall(callId);
    returnOrders.releaseCall(callId);
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
      if (choice.kind !== 'wait') releaseCall(entry.request.callId);
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
      const isReturn = returnOrders.claimOrder(request, isFirstRequest);
      if (isReturn && isFirstRequest) metrics?.addToCounter('promised_retries_total', { event: 'returned' });
      const position = buildPosition(request, isReturn);
      const decided = decide(request, position);
      if (isFirstRequest && decided.kind === 'wait' && decided.memory !== undefined)
        memoryReservations.observeNeed(request);
      const choice = limitWait(request, position, decided, effects);
      if (choice.kind !== 'wait') releaseCall(request.callId);
      if (choice.kind !== 'wait' || queue.length >= MAX_QUEUED) {
        onChoice(choice);
        return false;
      }
      queue.push({ request, position, onChoice, queuedAtMs: readMonotonicMs() });
      queue.sort((a, b) => comparePositions(a.position, b.position));
      stopPolling ??= pollCapacity(() => {
        drainQueue(MAX_DECISIONS_PER_POLL);
      });
      return true;
    },
    explainPlacementRequest: (request, chooseReading) => {
      const used = buildReadingEffects(chooseReading);
      const position = buildPosition(request, returnOrders.hasDueOrder(request));
      return limitWait(request, position, decide(request, position, used), used);
    },
    countQueued: () => queue.length,
  };
}
