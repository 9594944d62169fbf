import { PRIORITIES } from '@laburnumshift/types';
import type { AdmissionEntry } from './admission-entry.js';
import type { AdmissionOptions } from './admission-options.js';
import type { AdmissionQueue } from './admission-queue.js';
import type { AdmissionRefusal } from './admission-refusal.js';
import { chooseAged } from './choose-aged.js';
import { chooseWaiting } from './choose-waiting.js';
import { countTokensAhead } from './count-tokens-ahead.js';
import { createDrainMeter } from './create-drain-meter.js';
import { createFairLine } from './create-fair-line.js';
import type { Waiting } from './waiting.js';

const MIN_RETRY_MS = 50;

/**
 * Creates an admission queue: strict order of priorities, softened by one admission in `agedEvery` for entries that have
 * waited long; fair queueing by tokens among the accounts of a priority; refusal at once when the deadline cannot be met.
 */
export function createAdmissionQueue(options: AdmissionOptions = {}): AdmissionQueue {
  const { maxPerAccount = 64, expireAfterMs = 1000, agedAfterMs = 10_000, agedEvery = 8 } = options;
  const lines = Object.values(PRIORITIES).map(() => createFairLine());
  const waitings = new Map<string, Waiting>();
  const counts = { added: 0, taken: 0, aged: 0, refused: 0, expired: 0, cancelled: 0 };
  const meter = createDrainMeter(options.tokensPerSecond ?? 10_000);
  let sinceAged = 0;

  const getLine = (entry: AdmissionEntry): (typeof lines)[number] => {
    const line = lines[PRIORITIES[entry.priority]];
    if (line === undefined) throw new Error(`unknown priority ${entry.priority}`);
    return line;
  };
  const removeWaiting = (waiting: Waiting): void => {
    getLine(waiting.entry).removeWaiting(waiting);
    waitings.delete(waiting.entry.requestId);
  };
  const estimateWaitMs: AdmissionQueue['estimateWaitMs'] = (entry, nowMs) =>
    countTokensAhead(lines, PRIORITIES[entry.priority], entry) / meter.getRate(nowMs);

  const findRefusal = (
    entry: AdmissionEntry,
    waitMs: number,
    nowMs: number,
  ): AdmissionRefusal | undefined => {
    const slackMs = entry.deadlineAtMs - nowMs - entry.serviceMs;
    if (waitMs <= slackMs) return undefined;
    counts.refused += 1;
    const excessMs = slackMs > 0 ? waitMs - slackMs : waitMs;
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.ceil(excessMs));
    return { requestId: entry.requestId, code: 'deadline_unreachable', retryAfterMs };
  };
  const findOverload = (entry: AdmissionEntry, nowMs: number): AdmissionRefusal | undefined => {
    const own = lines.flatMap((line) => line.listFlows()).filter((flow) => flow.account === entry.account);
    const length = own.reduce((sum, flow) => sum + flow.entries.length, 0);
    if (length < maxPerAccount) return undefined;
    counts.refused += 1;
    // The account may queue again when its first entry has been served.
    const tokens = own.reduce((sum, flow) => sum + flow.tokens, 0) / length;
    const waitMs = estimateWaitMs({ ...entry, account: '', tokens }, nowMs);
    const retryAfterMs = Math.max(MIN_RETRY_MS, Math.ceil(waitMs));
    return { requestId: entry.requestId, code: 'overloaded', retryAfterMs };
  };

  return {
    estimateWaitMs,
    addEntry: (entry, nowMs) => {
      const known = waitings.get(entry.requestId);
      if (known !== undefined) {
        known.askedAtMs = nowMs;
        return undefined;
      }
      const refusal = findOverload(entry, nowMs) ?? findRefusal(entry, estimateWaitMs(entry, nowMs), nowMs);
      if (refusal !== undefined) return refusal;
      const waiting = { entry, addedAtMs: nowMs, askedAtMs: nowMs };
      waitings.set(entry.requestId, waiting);
      getLine(entry).addWaiting(waiting);
      meter.setBusy(true, nowMs);
      counts.added += 1;
      return undefined;
    },
    markAsked: (requestId, nowMs) => {
      const waiting = waitings.get(requestId);
      if (waiting !== undefined) waiting.askedAtMs = nowMs;
      return waiting !== undefined;
    },
    takeNext: (nowMs, slots, canRun = () => true) => {
      const isRunnable = (entry: AdmissionEntry): boolean =>
        slots.free > (entry.priority === 'urgent' ? 0 : slots.reserved) && canRun(entry);
      let chosen =
        sinceAged >= agedEvery - 1 ? chooseAged(lines.slice(1), nowMs - agedAfterMs, isRunnable) : undefined;
      if (chosen !== undefined) {
        sinceAged = 0;
        counts.aged += 1;
      } else {
        sinceAged += 1;
        for (const line of lines) chosen ??= chooseWaiting(line, isRunnable);
      }
      if (chosen === undefined) return undefined;
      getLine(chosen.entry).takeWaiting(chosen);
      waitings.delete(chosen.entry.requestId);
      meter.setBusy(waitings.size > 0, nowMs);
      // An entry that found a free slot says nothing about how fast a queue drains.
      if (nowMs > chosen.addedAtMs) meter.addTokens(chosen.entry.tokens);
      counts.taken += 1;
      return chosen.entry;
    },
    cancelEntry: (requestId) => {
      const waiting = waitings.get(requestId);
      if (waiting === undefined) return false;
      removeWaiting(waiting);
      counts.cancelled += 1;
      return true;
    },
    dropExpired: (nowMs) => {
      const expired = [...waitings.values()].filter((w) => nowMs - w.askedAtMs > expireAfterMs);
      for (const waiting of expired) removeWaiting(waiting);
      counts.expired += expired.length;
      meter.setBusy(waitings.size > 0, nowMs);
      return expired.map((waiting) => waiting.entry);
    },
    refuseLate: (nowMs) => {
      const rate = meter.getRate(nowMs);
      const late: AdmissionRefusal[] = [];
      let ahead = 0;
      for (const waiting of lines.flatMap(listInOrder)) {
        const refusal = findRefusal(waiting.entry, ahead / rate, nowMs);
        if (refusal === undefined) ahead += waiting.entry.tokens;
        else {
          late.push(refusal);
          removeWaiting(waiting);
        }
      }
      return late;
    },
    getPosition: (requestId) => {
      const waiting = waitings.get(requestId);
      if (waiting === undefined) return undefined;
      const level = PRIORITIES[waiting.entry.priority];
      const isBefore = (other: Waiting): boolean => {
        const otherLevel = PRIORITIES[other.entry.priority];
        return otherLevel < level || (otherLevel === level && other.addedAtMs < waiting.addedAtMs);
      };
      return [...waitings.values()].filter(isBefore).length;
    },
    getCounts: () => ({ ...counts, waiting: waitings.size }),
  };
}

/** Lists a line's entries in the order in which fair queueing would serve them if nothing else arrived. */
function listInOrder(line: ReturnType<typeof createFairLine>): Waiting[] {
  const due: { readonly waiting: Waiting; readonly tag: number }[] = [];
  for (const flow of line.listFlows()) {
    let { tag } = flow;
    for (const waiting of flow.entries) {
      due.push({ waiting, tag });
      tag += waiting.entry.tokens / flow.weight;
    }
  }
  return due.sort((a, b) => a.tag - b.tag).map((item) => item.waiting);
}
