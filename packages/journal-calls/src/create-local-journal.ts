import { readMonotonicMs, readWallMs, sleep, startTimer } from '@laburnumshift/clock';
import type { JournalBegin, JournalDecision } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { CallEntry } from './call-entry.js';
import { computeCallId } from './compute-call-id.js';
import { createShard } from './create-shard.js';
import { isNodeDead } from './is-node-dead.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalOptions } from './journal-options.js';
import type { JournalRecord } from './journal-record.js';
import { limitAnswer } from './limit-answer.js';
import type { LocalJournal } from './local-journal.js';
import type { Shard } from './shard.js';
import { updateHint } from './update-hint.js';

/** Between two looks at a run in progress; another home may record its end. */
const POLL_MS = 250;
/** When to ask again for a run in progress. */
const RETRY_AFTER_MS = 500;
/** The hint is moved once in this many sealed objects; a loading home reads at most so many one by one. */
const HINT_EVERY = 16;

/** Creates the journal of one node without regard to homes. */
export function createLocalJournal(options: JournalOptions, limits: JournalLimits): LocalJournal {
  const { platform, membership } = options;
  const shards = new Map<number, Shard>();

  const getShard = (id: string): Shard => {
    const index = Buffer.from(id, 'base64url').readUInt32BE(0) % options.shards;
    const known = shards.get(index);
    if (known !== undefined) return known;
    const shard = createShard(platform, index, limits, options.minWriteIntervalMs, (seq) => {
      if (seq % HINT_EVERY === 0) void updateHint(platform, index, { last: seq });
    });
    shards.set(index, shard);
    return shard;
  };
  /** Appends a record unless the present entry makes it needless; a string is the reason of a failure. */
  const appendRecord = (
    id: string,
    sinceMs: number,
    decide: (entry: CallEntry | undefined) => JournalRecord | undefined,
  ): Promise<{ readonly entry: CallEntry | undefined } | string> =>
    new Promise((resolve) => {
      let isOpen = true;
      const finish = (result: { readonly entry: CallEntry | undefined } | string): void => {
        isOpen = false;
        cancel();
        resolve(result);
      };
      const cancel = startTimer(limits.confirmMs, () => {
        finish('the platform did not confirm the record in time');
      });
      getShard(id).addIntent({
        id,
        sinceMs,
        decide,
        settle: (entry, failure) => {
          if (isOpen) finish(failure ?? { entry });
        },
        isOpen: () => isOpen,
      });
    });
  const appendUntilConfirmed = async (
    id: string,
    decide: (entry: CallEntry | undefined) => JournalRecord | undefined,
  ): Promise<{ readonly entry: CallEntry | undefined } | undefined> => {
    const untilMs = readMonotonicMs() + limits.keepTryingMs;
    for (;;) {
      const result = await appendRecord(id, 0, decide);
      if (typeof result !== 'string') return result;
      if (readMonotonicMs() + POLL_MS > untilMs) return undefined;
      await sleep(POLL_MS);
    }
  };

  const describeStarted = (entry: CallEntry): JournalDecision => {
    const { id, attemptId } = entry;
    const isOld = readWallMs() - entry.at > limits.maxAttemptMs;
    if (!isOld && !isNodeDead(membership, entry.node, entry.incarnation)) {
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
    const known = getShard(id).getEntry(id);
    // A finished entry never changes, so it needs no write and no read.
    if (known?.state === 'finished') return describeBegin(known, begin);
    const result = await appendRecord(id, begin.issuedAtMs - limits.skewMs, (entry) => {
      if (entry !== undefined || isExpired(begin, 0)) return undefined;
      const call = { id, attemptId, account, service, key, bodyHash, node, incarnation, system };
      return { type: 'started', ...call, at: readWallMs() };
    });
    // After a long pause the older records of the key may be deleted, so the confirmed record permits nothing.
    if (isExpired(begin, limits.skewMs)) return { kind: 'expired' };
    if (typeof result !== 'string') {
      return result.entry === undefined ? { kind: 'expired' } : describeBegin(result.entry, begin);
    }
    const seen = getShard(id).getEntry(id);
    const isEvidence = seen !== undefined && seen.attemptId !== attemptId;
    if (isEvidence) return describeBegin(seen, begin);
    const isCut = getShard(id).isCut(begin.issuedAtMs - limits.skewMs);
    return { kind: 'unavailable', detail: result, seen: isCut };
  };

  return {
    beginCall: async (begin) => {
      const id = computeCallId(begin);
      const untilMs = readMonotonicMs() + begin.waitMs;
      if (begin.issuedAtMs > readWallMs() + limits.skewMs) {
        return { kind: 'unavailable', detail: 'the key is dated in the future', seen: true };
      }
      for (;;) {
        const decision = await beginOnce(id, begin);
        const restMs = untilMs - readMonotonicMs();
        if (decision.kind !== 'in-progress' || restMs <= 0) return decision;
        await getShard(id).waitChange(Math.min(restMs, POLL_MS));
        await getShard(id).findFresh(id, begin.issuedAtMs - limits.skewMs, POLL_MS / 2);
      }
    },
    finishCall: async (finish) => {
      const id = computeCallId(finish);
      const { attemptId } = finish;
      const answer = limitAnswer(finish.answer, limits.maxAnswerBytes);
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
    findCall: async (look) => {
      const id = computeCallId(look);
      const found = await getShard(id).findFresh(id, (look.issuedAtMs ?? 0) - limits.skewMs, 0);
      const entry = found === undefined ? getShard(id).getEntry(id) : found.entry;
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
