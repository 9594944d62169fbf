import { buildRefusal, REFUSAL_CAUSES, type ServerChoice } from '@laburnumshift/choose-server';
import { createSharedInterval, readMonotonicMs } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { createQueueWaitEstimator } from './create-queue-wait-estimator.js';
import { RETRY_BOUNDS } from '@laburnumshift/place-calls';
import type { PlacementQueueOptions } from './placement-queue-options.js';
import { PLACEMENT_TIMING } from './placement-timing.js';
import type { PlacementQueue } from './placement-queue.js';

/** Maximum number of queued questions. Further ones are answered with `wait` at once, and their hosts ask again later. */
const MAX_QUEUED = 512;
/** Maximum number of queued questions that are decided again at each check for free capacity, and before each new question. */
const MAX_DECISIONS_PER_POLL = 48;
const MAX_DECISIONS_PER_QUESTION = 6;
/** Retry-After of a call that was not executed and may not be sent again, milliseconds: a fraction of the window of the retry budget. */
const RETRY_BUDGET_RETRY_AFTER_MS = 500;
/** Maximum expected queue wait as a share of the target time to first token. A call with a longer expected wait is refused on arrival. */
const MAX_QUEUE_WAIT_SHARE = 0.2;

interface QueuedQuestion {
  readonly question: PlacementRequest;
  readonly onChoice: (choice: ServerChoice) => void;
  readonly queuedAtMs: number;
}

/**
 * Creates a question queue. Under overload, calls wait here until a server has free capacity, ordered by priority and then by time
 * waited; a new call does not overtake queued calls. Queued calls are decided by the same rule as new ones, so a call is refused as soon
 * as more waiting cannot help it.
 */
export function createPlacementQueue({
  chooseServer: choose,
  recordFirstAttempt: recordCall,
  takeResend,
}: PlacementQueueOptions): PlacementQueue {
  const pollCapacity = createSharedInterval(PLACEMENT_TIMING.capacityPollMs);
  const waitEstimator = createQueueWaitEstimator();
  let queue: QueuedQuestion[] = [];
  let stopPolling: (() => void) | undefined;

  const computeWaitedMs = ({ question, queuedAtMs }: QueuedQuestion): number =>
    question.waitedMs + readMonotonicMs() - queuedAtMs;
  const countAhead = (question: PlacementRequest): number =>
    queue.filter(
      (entry) =>
        entry.question.priority < question.priority ||
        (entry.question.priority === question.priority && computeWaitedMs(entry) >= question.waitedMs),
    ).length;
  const scheduleRetry = (question: PlacementRequest, minRetryMs: number): number =>
    waitEstimator.scheduleRetry(
      question.priority,
      countAhead(question),
      minRetryMs,
      Math.max(minRetryMs, question.remainingMs * RETRY_BOUNDS.maxRemainingShare),
    );
  const decide = (question: PlacementRequest): ServerChoice => {
    const choice = choose(question);
    if (choice.kind === 'refuse' && choice.cause === REFUSAL_CAUSES.noCapacity)
      return { ...choice, retryAfterMs: scheduleRetry(question, choice.retryAfterMs) };
    if (choice.kind !== 'server') return choice;
    if (question.isResend && !takeResend(question.service))
      return buildRefusal(REFUSAL_CAUSES.resendBudgetUsedUp, RETRY_BUDGET_RETRY_AFTER_MS);
    waitEstimator.recordPlacement(question.priority);
    return choice;
  };
  /** Refuses a call without free capacity when its expected queue wait exceeds `MAX_QUEUE_WAIT_SHARE` of its target; else `undefined`. */
  const checkQueueWait = (question: PlacementRequest): ServerChoice | undefined => {
    const waitMs = waitEstimator.estimateWaitMs(question.priority, countAhead(question));
    if (waitMs <= question.targetMs * MAX_QUEUE_WAIT_SHARE) return undefined;
    return buildRefusal(REFUSAL_CAUSES.noCapacity, scheduleRetry(question, RETRY_BOUNDS.minMs));
  };
  const decideEntry = (entry: QueuedQuestion): ServerChoice => {
    const waitedMs = readMonotonicMs() - entry.queuedAtMs;
    const { question } = entry;
    return decide({
      ...question,
      waitedMs: question.waitedMs + waitedMs,
      remainingMs: question.remainingMs - waitedMs,
    });
  };
  const drainQueue = (maxDecisions: number): void => {
    const now = readMonotonicMs();
    const finished = new Set<QueuedQuestion>();
    for (const [index, entry] of queue.entries()) {
      const isExpired = now - entry.queuedAtMs >= PLACEMENT_TIMING.maxQueueMs;
      if (index >= maxDecisions && !isExpired) continue;
      const choice = index < maxDecisions ? decideEntry(entry) : ({ kind: 'wait' } as const);
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
    submitQuestion: (question, onChoice) => {
      if (queue.length > 0) drainQueue(MAX_DECISIONS_PER_QUESTION);
      if (!question.isResend) recordCall(question.service);
      const decided = decide(question);
      const choice = decided.kind === 'wait' ? (checkQueueWait(question) ?? decided) : decided;
      if (choice.kind !== 'wait' || queue.length >= MAX_QUEUED) {
        onChoice(choice);
        return false;
      }
      queue.push({ question, onChoice, queuedAtMs: readMonotonicMs() });
      queue.sort(
        (a, b) => a.question.priority - b.question.priority || computeWaitedMs(b) - computeWaitedMs(a),
      );
      stopPolling ??= pollCapacity(() => {
        drainQueue(MAX_DECISIONS_PER_POLL);
      });
      return true;
    },
    countQueued: () => queue.length,
  };
}
