import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendLoad } from '@laburnumshift/forward-types';
import type { ConditionTable } from './condition-table.js';
import type { ServerCondition } from './server-condition.js';

/**
 * Half-life of the deviation of a reported slowness from 1, milliseconds. Servers are slow for some seconds; one that gets no calls
 * because of its last report sends no further ones, and is tried again after about two seconds.
 */
const SLOWNESS_HALF_LIFE_MS = 1000;
/** Time for which a server that reports its slowness counts as one that does, milliseconds: long enough for one without calls. */
const SLOWNESS_TTL_MS = 10_000;
/** Weight of the newest report in the slowness, since the reported figure changes many times a second. */
const SLOWNESS_AVERAGE_WEIGHT = 0.5;
/** Bounds of a reported slowness. They limit what a false figure can do: attract all calls, or keep them away for long. */
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 20;
/** Time after a full report for which the size of a queue is known, milliseconds; a server may be replaced by one with a larger queue. */
const QUEUE_LIMIT_TTL_MS = 60_000;
/** Reports older than this are not passed on to other hosts, milliseconds: the slowness has faded by half. */
const MAX_CONDITION_AGE_MS = 1000;
/** Most conditions in one list; at 40 bytes each they take only a part of a datagram. */
const MAX_CONDITIONS = 64;
/** Most servers recorded; beyond that the one reported longest ago is removed. */
const MAX_SERVERS = 4000;

interface Entry {
  slowness: number;
  slownessAtMs: number;
  queueLimit: number;
  queueLimitAtMs: number;
}

const limitSlowness = (slowness: number): number => Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
/** Computes the slowness of an entry at a time not before its report. */
const computeSlowness = ({ slowness, slownessAtMs }: Entry, atMs: number): number =>
  Number.isFinite(slownessAtMs)
    ? 1 + (slowness - 1) * 0.5 ** ((atMs - slownessAtMs) / SLOWNESS_HALF_LIFE_MS)
    : 1;

/** Creates an empty table. */
export function createConditionTable(): ConditionTable {
  const entries = new Map<string, Entry>();
  const ensureEntry = (server: string): Entry => {
    const entry = entries.get(server) ?? {
      slowness: 1,
      slownessAtMs: -Infinity,
      queueLimit: 0,
      queueLimitAtMs: -Infinity,
    };
    entries.delete(server);
    entries.set(server, entry);
    const [oldest] = entries.size > MAX_SERVERS ? entries.keys() : [];
    if (oldest !== undefined) entries.delete(oldest);
    return entry;
  };
  const getQueueLimit = (server: string): number | undefined => {
    const entry = entries.get(server);
    if (entry === undefined || readMonotonicMs() - entry.queueLimitAtMs >= QUEUE_LIMIT_TTL_MS)
      return undefined;
    return entry.queueLimit;
  };
  const observeQueue = (server: string, { running, waiting, slots }: BackendLoad, isFull: boolean): void => {
    // A refusal with free slots has another reason than a full queue.
    const isQueueFull = isFull && running >= slots && waiting > 0;
    const known = getQueueLimit(server);
    const isLarger = known !== undefined && waiting > known;
    if (!isQueueFull && !isLarger) return;
    const entry = ensureEntry(server);
    entry.queueLimit = waiting;
    entry.queueLimitAtMs = readMonotonicMs();
  };
  return {
    observeLoad: (server, load, isFull) => {
      observeQueue(server, load, isFull);
      if (load.slowness === undefined || !Number.isFinite(load.slowness)) return;
      const entry = ensureEntry(server);
      const now = readMonotonicMs();
      const known = computeSlowness(entry, now);
      entry.slowness = known + (limitSlowness(load.slowness) - known) * SLOWNESS_AVERAGE_WEIGHT;
      entry.slownessAtMs = now;
    },
    observeCondition: ([server, slowness, queueLimit, ageMs]) => {
      const entry = ensureEntry(server);
      const atMs = readMonotonicMs() - ageMs;
      if (atMs > entry.slownessAtMs) {
        entry.slowness = limitSlowness(slowness);
        entry.slownessAtMs = atMs;
      }
      if (queueLimit > 0 && atMs > entry.queueLimitAtMs) {
        entry.queueLimit = queueLimit;
        entry.queueLimitAtMs = atMs;
      }
    },
    getSlowness: (server) => {
      const entry = entries.get(server);
      return entry === undefined ? 1 : computeSlowness(entry, readMonotonicMs());
    },
    isSlownessKnown: (server) => {
      const { slownessAtMs = -Infinity } = entries.get(server) ?? {};
      return readMonotonicMs() - slownessAtMs < SLOWNESS_TTL_MS;
    },
    getQueueLimit,
    listConditions: () => {
      const now = readMonotonicMs();
      return [...entries]
        .map(([server, entry]): ServerCondition => {
          const atMs = Math.max(entry.slownessAtMs, entry.queueLimitAtMs);
          const isLimitRecent = now - entry.queueLimitAtMs < MAX_CONDITION_AGE_MS;
          return [server, computeSlowness(entry, atMs), isLimitRecent ? entry.queueLimit : 0, now - atMs];
        })
        .filter(([, , , ageMs]) => ageMs < MAX_CONDITION_AGE_MS)
        .sort((a, b) => a[3] - b[3])
        .slice(0, MAX_CONDITIONS);
    },
    removeServer: (server) => {
      entries.delete(server);
    },
  };
}
