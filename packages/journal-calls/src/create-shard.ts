import { randomUUID } from 'node:crypto';
import { readMonotonicMs, sleep, waitWithTimeout } from '@laburnumshift/clock';
import type { PlatformClient } from '@laburnumshift/types';
import { applyToView } from './apply-to-view.js';
import type { JournalLimits } from './journal-limits.js';
import type { JournalRecord } from './journal-record.js';
import { loadShard } from './load-shard.js';
import { refreshView } from './refresh-view.js';
import { findOlderCall } from './find-older-call.js';
import { setEntry } from './set-entry.js';
import type { ShardIntent } from './shard-intent.js';
import type { ShardView } from './shard-view.js';
import type { Shard } from './shard.js';

/** Pause before the platform is tried again, milliseconds. */
const RETRY_MS = 200;

interface BatchItem {
  readonly intent: ShardIntent;
  readonly record: JournalRecord;
}

/** Creates the writer of a shard: one write in flight, many requests in each. */
export function createShard(
  platform: PlatformClient,
  index: number,
  limits: JournalLimits,
  minWriteIntervalMs: number,
  onSealed: (seq: number) => void,
): Shard {
  let view: ShardView | undefined;
  /** The last view, kept as evidence while the platform cannot be read. */
  let lastView: ShardView | undefined;
  let queue: ShardIntent[] = [];
  /** Requests whose record may be in the journal although no write was confirmed. */
  let unsettled: ShardIntent[] = [];
  let isRunning = false;
  let closed = false;
  let wroteMs = -Infinity;
  let access: Promise<unknown> = Promise.resolve();
  const waiters = new Set<() => void>();

  const notifyChange = (): void => {
    for (const waiter of [...waiters]) waiter();
  };
  /** One task at a time may read or change the view. */
  const runAlone = <T>(task: () => Promise<T>): Promise<T> => {
    const run = access.then(task);
    access = run.catch(() => undefined);
    return run;
  };
  const ensureView = async (isRefresh: boolean): Promise<ShardView | undefined> => {
    if (view !== undefined && readMonotonicMs() - view.confirmedMs > limits.staleMs) view = undefined;
    if (view === undefined) view = await loadShard(platform, index, limits);
    else if (isRefresh && !(await refreshView(platform, index, view, limits))) view = undefined;
    lastView = view ?? lastView;
    return view;
  };
  /** Makes sure that the entry of a call is in the view when the journal has one. */
  const ensureEntry = async (known: ShardView, id: string, sinceMs: number): Promise<boolean> => {
    if (known.entries.has(id) || sinceMs > known.missingUntilMs) return true;
    const scanned = await findOlderCall(platform, index, known, id, sinceMs, limits.maxScan);
    if (scanned?.entry !== undefined) setEntry(known, id, scanned.entry);
    return scanned !== undefined;
  };
  const failAll = (failure: string): void => {
    // A request whose record may be written is kept until a read shows what became of it.
    const failed = queue;
    queue = [];
    for (const intent of failed) intent.settle(undefined, failure);
  };
  /** Decides the queue against the view and collects the records to write. */
  const collectBatch = async (known: ShardView): Promise<BatchItem[]> => {
    const intents = [...unsettled, ...queue];
    const kept = new Set(unsettled);
    queue = [];
    unsettled = [];
    const batch: BatchItem[] = [];
    const inBatch = new Set<string>();
    let bytes = 0;
    for (const intent of intents) {
      if (bytes > limits.maxBatchBytes || inBatch.has(intent.id)) {
        (kept.has(intent) ? unsettled : queue).push(intent);
        continue;
      }
      if (!(await ensureEntry(known, intent.id, intent.sinceMs))) {
        intent.settle(undefined, 'the journal cannot be read far enough back');
        continue;
      }
      const entry = known.entries.get(intent.id);
      const record = intent.isOpen() ? intent.decide(entry) : undefined;
      if (record === undefined) {
        intent.settle(entry);
        continue;
      }
      inBatch.add(intent.id);
      bytes += JSON.stringify(record).length;
      batch.push({ intent, record });
    }
    return batch;
  };
  /** Writes one batch; false when the platform did not confirm it. */
  const writeBatch = async (known: ShardView, batch: readonly BatchItem[]): Promise<boolean> => {
    const records = [...known.records, ...batch.map((item) => item.record)];
    const sealed = JSON.stringify(records).length > limits.sealBytes;
    const name = `${String(index)}.${String(known.seq)}`;
    const result = await platform.writeObject(
      'journal',
      name,
      { sealed, records },
      known.version,
      randomUUID(),
      'journal',
    );
    const intents = batch.map((item) => item.intent);
    if (result.kind === 'written' && readMonotonicMs() - known.confirmedMs <= limits.staleMs) {
      applyToView(known, records.slice(known.records.length), limits);
      known.confirmedMs = readMonotonicMs();
      known.version = sealed ? 0 : result.version;
      known.records = sealed ? [] : records;
      if (sealed) {
        onSealed(known.seq);
        known.seq += 1;
      }
      for (const intent of intents) intent.settle(known.entries.get(intent.id));
      notifyChange();
      return true;
    }
    if (result.kind === 'unavailable' || result.kind === 'too-large') {
      for (const intent of intents) intent.settle(undefined, `the platform is ${result.kind}`);
      return false;
    }
    // A conflict, an unknown result, or a confirmation after a pause: only the newest state decides who may run.
    unsettled = [...intents, ...unsettled];
    if (result.kind === 'written' || !(await refreshView(platform, index, known, limits))) {
      view = undefined;
      return result.kind === 'written';
    }
    notifyChange();
    return true;
  };
  const runOnce = async (): Promise<boolean> => {
    const known = await ensureView(false);
    if (known === undefined) {
      failAll('the platform cannot be read');
      return false;
    }
    const batch = await collectBatch(known);
    if (batch.length === 0) return true;
    wroteMs = readMonotonicMs();
    return writeBatch(known, batch);
  };
  const runQueue = async (): Promise<void> => {
    if (isRunning) return;
    isRunning = true;
    while (!closed && queue.length + unsettled.length > 0) {
      const waitMs = wroteMs + minWriteIntervalMs - readMonotonicMs();
      if (waitMs > 0) await sleep(waitMs);
      const isDone = await runAlone(runOnce).catch(() => false);
      if (!isDone) await sleep(RETRY_MS);
    }
    isRunning = false;
  };

  return {
    addIntent: (intent) => {
      if (closed || queue.length >= limits.maxQueue) {
        intent.settle(undefined, closed ? 'the journal is closed' : 'too many requests wait');
        return;
      }
      queue.push(intent);
      void runQueue();
    },
    getEntry: (id) => (view ?? lastView)?.entries.get(id),
    isCut: (sinceMs) => sinceMs <= ((view ?? lastView)?.missingUntilMs ?? 0),
    findFresh: (id, sinceMs, maxAgeMs) =>
      runAlone(async () => {
        const ageMs = view === undefined ? Infinity : readMonotonicMs() - view.confirmedMs;
        const known = await ensureView(ageMs >= maxAgeMs);
        if (known === undefined || !(await ensureEntry(known, id, sinceMs))) return undefined;
        return { entry: known.entries.get(id) };
      }),
    waitChange: async (ms) => {
      let resolveWait = (): void => undefined;
      const change = new Promise<void>((resolve) => {
        resolveWait = resolve;
      });
      waiters.add(resolveWait);
      await waitWithTimeout(change, ms);
      waiters.delete(resolveWait);
    },
    getTail: () => view?.seq,
    close: () => {
      closed = true;
      failAll('the journal is closed');
      notifyChange();
    },
  };
}
