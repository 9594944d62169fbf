import { readMonotonicMs, readWallMs, sleep, startTimer } from '@laburnumshift/clock';
import type { JournalBegin, JournalDecision } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { CallEntry } from './call-entry.js';
import { computeCallId } from './compute-call-id.js';
import { createShardWriter } from './create-shard-writer.js';
import { isNodeDead } from './is-node-dead.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalOptions } from './journal-options.js';
import type { JournalRecord } from './journal-record.js';
import { limitStoredAnswer } from './limit-stored-answer.js';
import type { LocalJournal } from './local-journal.js';
import type { ShardWriter } from './shard-writer.js';
import { updateHint } from './update-hint.js';

/** Interval between checks of a run in progress, milliseconds. Another node may record its end. */
const POLL_INTERVAL_MS = 250;
/** Delay after which a client should retry a call in progress, milliseconds. */
const RETRY_AFTER_MS = 500;
/**
 * Number of sealed objects between two updates of the hint. Bounds the objects that a load must read beyond the hint.
 */
const HINT_INTERVAL_OBJECTS = 16;

/** Creates a journal that writes all shards from this node, whether or not it is their home node. */
export function createLocalJournal(options: JournalOptions, limits: JournalLimits): LocalJournal {
  const { platform, membership } = options;
  const shards = new Map<number, ShardWriter>();

  const getShard = (id: string): ShardWriter => {
    const index = Buffer.from(id, 'base64url').readUInt32BE(0) % options.shards;
    const known = shards.get(index);
    if (known !== undefined) return known;
    const shard = createShardWriter(platform, index, limits, options.minWriteIntervalMs, (seq) => {
      if (seq % HINT_INTERVAL_OBJECTS === 0) void updateHint(platform, index, { last: seq });
    });
    shards.set(index, shard);
    return shard;
  };
  /**
   * Appends the record that `buildRecord` returns for the current entry, if any. Resolves to the entry, or to the
   * reason for a failure.
   */
  const appendRecord = (
    id: string,
    sinceMs: number,
    buildRecord: (entry: CallEntry | undefined) => JournalRecord | undefined,
  ): Promise<{ readonly entry: CallEntry | undefined } | string> =>
    new Promise((resolve) => {
      let isPending = true;
      const finish = (result: { readonly entry: CallEntry | undefined } | string): void => {
        isPending = false;
        cancel();
        resolve(result);
      };
      const cancel = startTimer(limits.confirmTimeoutMs, () => {
        finish('the platform did not confirm the record in time');
      });
      getShard(id).addRequest({
        id,
        sinceMs,
        buildRecord,
        settle: (entry, failure) => {
          if (isPending) finish(failure ?? { entry });
        },
        isPending: () => isPending,
      });
    });
  /** Retries the append until it is confirmed; `undefined` after `limits.recordRetryMs`. */
  const appendUntilConfirmed = async (
    id: string,
    buildRecord: (entry: CallEntry | undefined) => JournalRecord | undefined,
  ): Promise<{ readonly entry: CallEntry | undefined } | undefined> => {
    const untilMs = readMonotonicMs() + limits.recordRetryMs;
    for (;;) {
      const result = await appendRecord(id, 0, buildRecord);
      if (typeof result !== 'string') return result;
      if (readMonotonicMs() + POLL_INTERVAL_MS > untilMs) return undefined;
      await sleep(POLL_INTERVAL_MS);
    }
  };

  const describeStarted = (entry: CallEntry): JournalDecision => {
    const { id, attemptId } = entry;
    const isTimedOut = readWallMs() - entry.at > limits.maxAttemptMs;
    if (!isTimedOut && !isNodeDead(membership, entry.node, entry.incarnation)) {
      return { kind: 'in-progress', retryAfterMs: RETRY_AFTER_MS };
    }
    void appendRecord(id, 0, (now) =>
      now?.attemptId === attemptId && now.state === 'started'
        ? { type: 'unknown', id, attemptId, at: readWallMs() }
        : undefined,
    );
    return { kind: 'unknown', detail: 'the node that ran the call is gone, or the call has no result' };
  };
  const describeEntry = (entry: CallEntry): JournalDecision =>
    match(entry.state)
      .with('started', () => describeStarted(entry))
      .with('unknown', (): JournalDecision => ({
        kind: 'unknown',
        detail: 'the result of the call is not known',
      }))
      .with('finished', (): JournalDecision => {
        const answer = entry.answer ?? { status: 500, headers: {}, body: '' };
        return { kind: 'finished', answer, system: entry.system };
      })
      .exhaustive();
  const describeBegin = (entry: CallEntry, begin: JournalBegin): JournalDecision => {
    if (entry.bodyHash !== begin.bodyHash) return { kind: 'body-differs' };
    const isOwn = entry.attemptId === begin.attemptId && entry.state === 'started';
    return isOwn ? { kind: 'run', attemptId: begin.attemptId, system: entry.system } : describeEntry(entry);
  };
  const isExpired = (begin: JournalBegin, graceMs: number): boolean =>
    begin.issuedAtMs + options.retentionMs + graceMs < readWallMs();

  const beginOnce = async (id: string, begin: JournalBegin): Promise<JournalDecision> => {
    if (isExpired(begin, 0)) return { kind: 'expired' };
    const { attemptId, account, service, key, bodyHash, node, incarnation, system } = begin;
    const known = getShard(id).getCachedEntry(id);
    // A finished entry never changes, so the cached one is final.
    if (known?.state === 'finished') return describeBegin(known, begin);
    const result = await appendRecord(id, begin.issuedAtMs - limits.maxClockSkewMs, (entry) => {
      if (entry !== undefined || isExpired(begin, 0)) return undefined;
      const call = { id, attemptId, account, service, key, bodyHash, node, incarnation, system };
      return { type: 'started', ...call, at: readWallMs() };
    });
    // If this process was paused for long, older records of the key may have been deleted, so the confirmed record
    // gives no permission.
    if (isExpired(begin, limits.maxClockSkewMs)) return { kind: 'expired' };
    if (typeof result !== 'string') {
      return result.entry === undefined ? { kind: 'expired' } : describeBegin(result.entry, begin);
    }
    const cached = getShard(id).getCachedEntry(id);
    const isOtherAttempt = cached !== undefined && cached.attemptId !== attemptId;
    if (isOtherAttempt) return describeBegin(cached, begin);
    const isIncomplete = getShard(id).isIncomplete(begin.issuedAtMs - limits.maxClockSkewMs);
    return { kind: 'unavailable', detail: result, seen: isIncomplete };
  };

  return {
    beginCall: async (begin) => {
      const id = computeCallId(begin);
      const untilMs = readMonotonicMs() + begin.waitMs;
      if (begin.issuedAtMs > readWallMs() + limits.maxClockSkewMs) {
        return { kind: 'unavailable', detail: 'the key is dated in the future', seen: true };
      }
      for (;;) {
        const decision = await beginOnce(id, begin);
        const remainingMs = untilMs - readMonotonicMs();
        if (decision.kind !== 'in-progress' || remainingMs <= 0) return decision;
        await getShard(id).waitForChange(Math.min(remainingMs, POLL_INTERVAL_MS));
        await getShard(id).refreshEntry(id, begin.issuedAtMs - limits.maxClockSkewMs, POLL_INTERVAL_MS / 2);
      }
    },
    finishCall: async (finish) => {
      const id = computeCallId(finish);
      const { attemptId } = finish;
      const answer = limitStoredAnswer(finish.answer, limits.maxAnswerBytes);
      const result = await appendUntilConfirmed(id, (entry) =>
        entry?.attemptId === attemptId && entry.state !== 'finished'
          ? { type: 'finished', id, attemptId, at: readWallMs(), answer }
          : undefined,
      );
      return result?.entry?.attemptId === attemptId && result.entry.state === 'finished';
    },
    abandonCall: async (abandon) => {
      const id = computeCallId(abandon);
      const { attemptId } = abandon;
      const result = await appendUntilConfirmed(id, (entry) =>
        entry?.attemptId === attemptId && entry.state !== 'finished'
          ? { type: 'abandoned', id, attemptId, at: readWallMs() }
          : undefined,
      );
      return result !== undefined && result.entry?.attemptId !== attemptId;
    },
    markUnknown: async (attempt) => {
      const id = computeCallId(attempt);
      const { attemptId } = attempt;
      const result = await appendUntilConfirmed(id, (entry) =>
        entry?.attemptId === attemptId && entry.state === 'started'
          ? { type: 'unknown', id, attemptId, at: readWallMs() }
          : undefined,
      );
      return result?.entry?.attemptId === attemptId && result.entry.state !== 'started';
    },
    findCall: async (query) => {
      const id = computeCallId(query);
      const found = await getShard(id).refreshEntry(id, (query.issuedAtMs ?? 0) - limits.maxClockSkewMs, 0);
      const entry = found === undefined ? getShard(id).getCachedEntry(id) : found.entry;
      if (entry !== undefined) return describeEntry(entry);
      if (found === undefined)
        return { kind: 'unavailable', detail: 'the journal cannot be read', seen: true };
      return { kind: 'absent' };
    },
    close: () => {
      for (const shard of shards.values()) shard.close();
    },
  };
}
