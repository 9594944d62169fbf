import { randomUUID } from 'node:crypto';
import { readMonotonicMs, sleep, waitWithTimeout } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { applyRecordsToView } from './apply-records-to-view.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalRecord } from './journal-record.js';
import { loadShard } from './load-shard.js';
import { refreshView } from './refresh-view.js';
import { findOlderCall } from './find-older-call.js';
import { setEntry } from './set-entry.js';
import type { AppendRequest } from './append-request.js';
import type { ShardView } from './shard-view.js';
import type { ShardWriter } from './shard-writer.js';

/** Delay before a failed write or read of the platform is retried, milliseconds. */
const RETRY_DELAY_MS = 200;

interface BatchItem {
  readonly request: AppendRequest;
  readonly record: JournalRecord;
}

/** Creates the writer of a shard. It batches append requests and has at most one write in flight. */
export function createShardWriter(
  platform: PlatformClient,
  index: number,
  limits: JournalLimits,
  minWriteIntervalMs: number,
  onSealed: (seq: number) => void,
): ShardWriter {
  let view: ShardView | undefined;
  /** The last valid view, which answers `getCachedEntry` while the platform cannot be read. */
  let lastView: ShardView | undefined;
  let queue: AppendRequest[] = [];
  /** Requests whose record may have been written although the write was not confirmed. */
  let unresolved: AppendRequest[] = [];
  let isProcessing = false;
  let closed = false;
  let lastWriteMs = -Infinity;
  let lastTask: Promise<unknown> = Promise.resolve();
  const waiters = new Set<() => void>();

  const notifyChange = (): void => {
    for (const waiter of [...waiters]) waiter();
  };
  /** Runs tasks one at a time, so that no two read or change the view at once. */
  const runExclusive = <T>(task: () => Promise<T>): Promise<T> => {
    const run = lastTask.then(task);
    lastTask = run.catch(() => undefined);
    return run;
  };
  const ensureView = async (isRefresh: boolean): Promise<ShardView | undefined> => {
    if (view !== undefined && readMonotonicMs() - view.confirmedAtMs > limits.maxViewAgeMs) view = undefined;
    if (view === undefined) view = await loadShard(platform, index, limits);
    else if (isRefresh && !(await refreshView(platform, index, view, limits))) view = undefined;
    lastView = view ?? lastView;
    return view;
  };
  /** Loads the entry of a call into the view if the journal has one. False when the journal cannot be read. */
  const ensureEntry = async (shardView: ShardView, id: string, sinceMs: number): Promise<boolean> => {
    if (shardView.entries.has(id) || sinceMs > shardView.incompleteUntilMs) return true;
    const scanned = await findOlderCall(platform, index, shardView, id, sinceMs, limits.maxScannedObjects);
    if (scanned?.entry !== undefined) setEntry(shardView, id, scanned.entry);
    return scanned !== undefined;
  };
  const failQueue = (failure: string): void => {
    // Unresolved requests stay until a read shows whether their record was written.
    const failed = queue;
    queue = [];
    for (const request of failed) request.settle(undefined, failure);
  };
  /** Takes the waiting requests, completes those that need no record, and collects the records of the others. */
  const collectBatch = async (shardView: ShardView): Promise<BatchItem[]> => {
    const requests = [...unresolved, ...queue];
    const unresolvedBefore = new Set(unresolved);
    queue = [];
    unresolved = [];
    const batch: BatchItem[] = [];
    const inBatch = new Set<string>();
    let bytes = 0;
    for (const request of requests) {
      if (bytes > limits.maxBatchChars || inBatch.has(request.id)) {
        (unresolvedBefore.has(request) ? unresolved : queue).push(request);
        continue;
      }
      if (!(await ensureEntry(shardView, request.id, request.sinceMs))) {
        request.settle(undefined, 'the journal cannot be read far enough back');
        continue;
      }
      const entry = shardView.entries.get(request.id);
      const record = request.isPending() ? request.buildRecord(entry) : undefined;
      if (record === undefined) {
        request.settle(entry);
        continue;
      }
      inBatch.add(request.id);
      bytes += JSON.stringify(record).length;
      batch.push({ request, record });
    }
    return batch;
  };
  /**
   * Writes one batch. False asks the caller to wait before the next write, because the platform cannot be written or
   * read.
   */
  const writeBatch = async (shardView: ShardView, batch: readonly BatchItem[]): Promise<boolean> => {
    const records = [...shardView.records, ...batch.map((item) => item.record)];
    const sealed = JSON.stringify(records).length > limits.sealThresholdChars;
    const name = `${String(index)}.${String(shardView.seq)}`;
    const result = await platform.writeObject(
      'journal',
      name,
      { sealed, records },
      shardView.version,
      randomUUID(),
      'journal',
    );
    const requests = batch.map((item) => item.request);
    if (result.kind === 'written' && readMonotonicMs() - shardView.confirmedAtMs <= limits.maxViewAgeMs) {
      applyRecordsToView(shardView, records.slice(shardView.records.length), limits);
      shardView.confirmedAtMs = readMonotonicMs();
      shardView.version = sealed ? 0 : result.version;
      shardView.records = sealed ? [] : records;
      if (sealed) {
        onSealed(shardView.seq);
        shardView.seq += 1;
      }
      for (const request of requests) request.settle(shardView.entries.get(request.id));
      notifyChange();
      return true;
    }
    if (result.kind === 'unavailable' || result.kind === 'too-large') {
      for (const request of requests) request.settle(undefined, `the platform is ${result.kind}`);
      return false;
    }
    // After a conflict, an unknown result or a late confirmation, only the current state of the chain decides who may
    // run.
    unresolved = [...requests, ...unresolved];
    if (result.kind === 'written' || !(await refreshView(platform, index, shardView, limits))) {
      view = undefined;
      return result.kind === 'written';
    }
    notifyChange();
    return true;
  };
  const writeQueued = async (): Promise<boolean> => {
    const shardView = await ensureView(false);
    if (shardView === undefined) {
      failQueue('the platform cannot be read');
      return false;
    }
    const batch = await collectBatch(shardView);
    if (batch.length === 0) return true;
    lastWriteMs = readMonotonicMs();
    return writeBatch(shardView, batch);
  };
  const drainQueue = async (): Promise<void> => {
    if (isProcessing) return;
    isProcessing = true;
    while (!closed && queue.length + unresolved.length > 0) {
      const waitMs = lastWriteMs + minWriteIntervalMs - readMonotonicMs();
      if (waitMs > 0) await sleep(waitMs);
      const isDone = await runExclusive(writeQueued).catch(() => false);
      if (!isDone) await sleep(RETRY_DELAY_MS);
    }
    isProcessing = false;
  };

  return {
    addRequest: (request) => {
      if (closed || queue.length >= limits.maxQueuedRequests) {
        request.settle(undefined, closed ? 'the journal is closed' : 'too many requests wait');
        return;
      }
      queue.push(request);
      void drainQueue();
    },
    getCachedEntry: (id) => (view ?? lastView)?.entries.get(id),
    isIncomplete: (sinceMs) => sinceMs <= ((view ?? lastView)?.incompleteUntilMs ?? 0),
    refreshEntry: (id, sinceMs, maxAgeMs) =>
      runExclusive(async () => {
        const ageMs = view === undefined ? Infinity : readMonotonicMs() - view.confirmedAtMs;
        const shardView = await ensureView(ageMs >= maxAgeMs);
        if (shardView === undefined || !(await ensureEntry(shardView, id, sinceMs))) return undefined;
        return { entry: shardView.entries.get(id) };
      }),
    waitForChange: async (ms) => {
      let resolveWait = (): void => undefined;
      const change = new Promise<void>((resolve) => {
        resolveWait = resolve;
      });
      waiters.add(resolveWait);
      await waitWithTimeout(change, ms);
      waiters.delete(resolveWait);
    },
    getTailSeq: () => view?.seq,
    close: () => {
      closed = true;
      failQueue('the journal is closed');
      notifyChange();
    },
  };
}
