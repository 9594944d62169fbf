import { PRIORITIES } from '@laburnumshift/types';
import type { AdmissionEntry } from './admission-entry.js';
import type { AdmissionQueueOptions } from './admission-queue-options.js';
import type { AdmissionQueue } from './admission-queue.js';
import type { AdmissionRefusal } from './admission-refusal.js';
import { chooseAgedEntry } from './choose-aged-entry.js';
import { chooseRunnableEntry } from './choose-runnable-entry.js';
import { countTokensAhead } from './count-tokens-ahead.js';
import { createDrainRateMeter } from './create-drain-rate-meter.js';
import { createFairQueue } from './create-fair-queue.js';
import type { QueuedEntry } from './queued-entry.js';

/** Lower bound on the retry delay of a refusal. */
const MIN_RETRY_DELAY_MS = 50;

/**
 * Creates an admission queue. Priorities are served in strict order, except that one admission in `agedEvery` goes to an entry
 * that has waited for `agedAfterMs`. The accounts of a priority share by weighted fair queueing over tokens. An entry whose
 * deadline cannot be met is refused at once.
 */
export function createAdmissionQueue(options: AdmissionQueueOptions = {}): AdmissionQueue {
  const {
    maxEntriesPerAccount: maxPerAccount = 64,
    pollTimeoutMs: expireAfterMs = 1000,
    agingThresholdMs: agedAfterMs = 10_000,
    agedAdmissionInterval: agedEvery = 8,
  } = options;
  const queues = Object.values(PRIORITIES).map(() => createFairQueue());
  const queuedById = new Map<string, QueuedEntry>();
  const counts = { added: 0, taken: 0, aged: 0, refused: 0, expired: 0, cancelled: 0 };
  const drainRateMeter = createDrainRateMeter(options.tokensPerSecond ?? 10_000);
  let admissionsSinceAged = 0;

  const getQueue = (entry: AdmissionEntry): (typeof queues)[number] => {
    const queue = queues[PRIORITIES[entry.priority]];
    if (queue === undefined) throw new Error(`unknown priority ${entry.priority}`);
    return queue;
  };
  const removeQueued = (queued: QueuedEntry): void => {
    getQueue(queued.entry).removeEntry(queued);
    queuedById.delete(queued.entry.requestId);
  };
  const estimateWaitMs: AdmissionQueue['estimateWaitMs'] = (entry, nowMs) =>
    countTokensAhead(queues, PRIORITIES[entry.priority], entry) / drainRateMeter.getTokensPerMs(nowMs);

  const checkDeadline = (
    entry: AdmissionEntry,
    waitMs: number,
    nowMs: number,
  ): AdmissionRefusal | undefined => {
    const slackMs = entry.deadlineAtMs - nowMs - entry.timeToFirstTokenMs;
    if (waitMs <= slackMs) return undefined;
    counts.refused += 1;
    const excessMs = slackMs > 0 ? waitMs - slackMs : waitMs;
    const retryAfterMs = Math.max(MIN_RETRY_DELAY_MS, Math.ceil(excessMs));
    return { requestId: entry.requestId, code: 'deadline_unreachable', retryAfterMs };
  };
  const checkAccountLimit = (entry: AdmissionEntry, nowMs: number): AdmissionRefusal | undefined => {
    const ownFlows = queues
      .flatMap((queue) => queue.listFlows())
      .filter((flow) => flow.account === entry.account);
    const length = ownFlows.reduce((sum, flow) => sum + flow.entries.length, 0);
    if (length < maxPerAccount) return undefined;
    counts.refused += 1;
    // The account may queue again when one of its entries has been served, so the wait is estimated for its mean entry.
    const tokens = ownFlows.reduce((sum, flow) => sum + flow.tokens, 0) / length;
    const waitMs = estimateWaitMs({ ...entry, account: '', tokens }, nowMs);
    const retryAfterMs = Math.max(MIN_RETRY_DELAY_MS, Math.ceil(waitMs));
    return { requestId: entry.requestId, code: 'overloaded', retryAfterMs };
  };

  return {
    estimateWaitMs,
    addEntry: (entry, nowMs) => {
      const known = queuedById.get(entry.requestId);
      if (known !== undefined) {
        known.lastPolledAtMs = nowMs;
        return undefined;
      }
      const refusal =
        checkAccountLimit(entry, nowMs) ?? checkDeadline(entry, estimateWaitMs(entry, nowMs), nowMs);
      if (refusal !== undefined) return refusal;
      const queued = { entry, addedAtMs: nowMs, lastPolledAtMs: nowMs };
      queuedById.set(entry.requestId, queued);
      getQueue(entry).addEntry(queued);
      drainRateMeter.setBacklogged(true, nowMs);
      counts.added += 1;
      return undefined;
    },
    recordPoll: (requestId, nowMs) => {
      const queued = queuedById.get(requestId);
      if (queued !== undefined) queued.lastPolledAtMs = nowMs;
      return queued !== undefined;
    },
    takeNext: (nowMs, slots, canRun = () => true) => {
      const isRunnable = (entry: AdmissionEntry): boolean =>
        slots.free > (entry.priority === 'urgent' ? 0 : slots.reserved) && canRun(entry);
      let chosen =
        admissionsSinceAged >= agedEvery - 1
          ? chooseAgedEntry(queues.slice(1), nowMs - agedAfterMs, isRunnable)
          : undefined;
      if (chosen !== undefined) {
        admissionsSinceAged = 0;
        counts.aged += 1;
      } else {
        admissionsSinceAged += 1;
        for (const queue of queues) chosen ??= chooseRunnableEntry(queue, isRunnable);
      }
      if (chosen === undefined) return undefined;
      getQueue(chosen.entry).takeEntry(chosen);
      queuedById.delete(chosen.entry.requestId);
      drainRateMeter.setBacklogged(queuedById.size > 0, nowMs);
      // An entry that was admitted without waiting is no evidence of how fast the queue drains.
      if (nowMs > chosen.addedAtMs) drainRateMeter.recordServedTokens(chosen.entry.tokens);
      counts.taken += 1;
      return chosen.entry;
    },
    cancelEntry: (requestId) => {
      const queued = queuedById.get(requestId);
      if (queued === undefined) return false;
      removeQueued(queued);
      counts.cancelled += 1;
      return true;
    },
    removeExpired: (nowMs) => {
      const expired = [...queuedById.values()].filter(
        (queued) => nowMs - queued.lastPolledAtMs > expireAfterMs,
      );
      for (const queued of expired) removeQueued(queued);
      counts.expired += expired.length;
      drainRateMeter.setBacklogged(queuedById.size > 0, nowMs);
      return expired.map((queued) => queued.entry);
    },
    refuseUnreachable: (nowMs) => {
      const tokensPerMs = drainRateMeter.getTokensPerMs(nowMs);
      const refusals: AdmissionRefusal[] = [];
      let tokensAhead = 0;
      for (const queued of queues.flatMap(listInServiceOrder)) {
        const refusal = checkDeadline(queued.entry, tokensAhead / tokensPerMs, nowMs);
        if (refusal === undefined) tokensAhead += queued.entry.tokens;
        else {
          refusals.push(refusal);
          removeQueued(queued);
        }
      }
      return refusals;
    },
    getPosition: (requestId) => {
      const queued = queuedById.get(requestId);
      if (queued === undefined) return undefined;
      const level = PRIORITIES[queued.entry.priority];
      const isBefore = (other: QueuedEntry): boolean => {
        const otherLevel = PRIORITIES[other.entry.priority];
        return otherLevel < level || (otherLevel === level && other.addedAtMs < queued.addedAtMs);
      };
      return [...queuedById.values()].filter(isBefore).length;
    },
    getCounts: () => ({ ...counts, waiting: queuedById.size }),
  };
}

/** Lists the entries of a queue in the order in which fair queueing would serve them if nothing else arrived. */
function listInServiceOrder(queue: ReturnType<typeof createFairQueue>): QueuedEntry[] {
  const due: { readonly queued: QueuedEntry; readonly startTag: number }[] = [];
  for (const flow of queue.listFlows()) {
    let { startTag } = flow;
    for (const queued of flow.entries) {
      due.push({ queued, startTag });
      startTag += queued.entry.tokens / flow.weight;
    }
  }
  return due.sort((a, b) => a.startTag - b.startTag).map((item) => item.queued);
}
