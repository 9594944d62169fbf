import { readMonotonicMs } from '@laburnumshift/clock';
import type { DelayTable } from './delay-table.js';

/**
 * Delays kept per source. A slow link delays nearly all fetches, a long queue at an engine only some of them, so the lower quartile
 * tells the two apart.
 */
const MAX_DELAYS = 9;
/** With fewer recent delays than this, a source is not judged. */
const MIN_DELAYS = 3;
/** Lifetime of a delay, milliseconds; afterwards a source that was avoided is tried again. */
const DELAY_TTL_MS = 4000;
/** Fetches of fewer tokens are ignored, as they say little about a link. */
const MIN_FETCH_TOKENS = 400;
/** Lower bound of the fetch time that a delay is compared with, milliseconds; shorter fetches consist mostly of fixed costs. */
const MIN_FETCH_MS = 5;

interface Delay {
  readonly tokens: number;
  readonly excessMs: number;
  readonly atMs: number;
}

/** Smaller delays are ignored, milliseconds: first events are late by about this much through engine queues unknown to the host. */
const MIN_EXCESS_MS = 100;
/** Least number of other sources with delays from which the delay common to all sources is computed. */
const MIN_BASELINE_SOURCES = 3;

/** Computes the lower quartile; 0 without values. */
const computeLowerQuartile = (values: readonly number[]): number =>
  values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 4)] ?? 0;

/** Creates an empty table. A source is slow only when its fetches are later than those of other sources. */
export function createDelayTable(): DelayTable {
  const bySource = new Map<string, readonly Delay[]>();
  const listRecent = (source: string): readonly Delay[] => {
    const since = readMonotonicMs() - DELAY_TTL_MS;
    const recent = (bySource.get(source) ?? []).filter(({ atMs }) => atMs >= since);
    return recent.length < MIN_DELAYS ? [] : recent;
  };
  /** Computes the delay common to all sources but one: the lower quartile over their own lower quartiles, milliseconds. */
  const computeBaselineMs = (excludedSource: string): number => {
    const sourceDelays = [...bySource.keys()]
      .filter((source) => source !== excludedSource)
      .map(listRecent)
      .filter((recent) => recent.length > 0)
      .map((recent) => computeLowerQuartile(recent.map(({ excessMs }) => excessMs)));
    return sourceDelays.length < MIN_BASELINE_SOURCES ? 0 : computeLowerQuartile(sourceDelays);
  };
  return {
    addDelay: (source, tokens, excessMs) => {
      if (tokens < MIN_FETCH_TOKENS) return;
      const delay = { tokens, excessMs: Math.max(0, excessMs), atMs: readMonotonicMs() };
      bySource.set(source, [...(bySource.get(source) ?? []).slice(1 - MAX_DELAYS), delay]);
    },
    getSlowdown: (source, fetchPerMs) => {
      const recent = listRecent(source);
      const delayMs = computeLowerQuartile(recent.map(({ excessMs }) => excessMs));
      if (delayMs < MIN_EXCESS_MS) return 1;
      const baselineMs = computeBaselineMs(source);
      if (delayMs - baselineMs < MIN_EXCESS_MS) return 1;
      return computeLowerQuartile(
        recent.map(({ tokens, excessMs }) => {
          const fetchMs = Math.max(MIN_FETCH_MS, tokens / fetchPerMs);
          return 1 + Math.max(0, excessMs - baselineMs) / fetchMs;
        }),
      );
    },
  };
}
