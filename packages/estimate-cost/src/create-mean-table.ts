import { readMonotonicMs } from '@laburnumshift/clock';
import type { MeanTable } from './mean-table.js';

/** Least number of values for an average: calls of one kind differ by a factor of five. */
const MIN_VALUES = 4;
/** Weight of the newest value in the average once there are enough: about the last 20 values count. */
const MIN_WEIGHT = 0.05;
/** Time after which a key without new values is forgotten, milliseconds. Costs change when a service is replaced. */
const KEY_TTL_MS = 120_000;
/** Most keys; beyond that the one updated longest ago is removed. An entry takes about 150 bytes. */
const MAX_KEYS = 1024;

interface Entry {
  readonly mean: number;
  readonly count: number;
  readonly atMs: number;
}

/** Creates an empty table with at most 1,024 keys, which expire after two minutes without values. */
export function createMeanTable(): MeanTable {
  /** Ordered by the time of the last value. */
  const entries = new Map<string, Entry>();
  const getEntry = (key: string): Entry | undefined => {
    const entry = entries.get(key);
    return entry !== undefined && readMonotonicMs() - entry.atMs < KEY_TTL_MS ? entry : undefined;
  };
  return {
    addValue: (key, value) => {
      const { mean, count } = getEntry(key) ?? { mean: 0, count: 0 };
      const weight = Math.max(MIN_WEIGHT, 1 / (count + 1));
      entries.delete(key);
      entries.set(key, {
        mean: mean + (value - mean) * weight,
        count: count + 1,
        atMs: readMonotonicMs(),
      });
      const [oldest] = entries.size > MAX_KEYS ? entries.keys() : [];
      if (oldest !== undefined) entries.delete(oldest);
    },
    getMean: (key) => {
      const entry = getEntry(key);
      return entry !== undefined && entry.count >= MIN_VALUES ? entry.mean : undefined;
    },
    countKeys: () => entries.size,
  };
}
