import { build } from 'hdr-histogram-js';
import type { RequestRecord } from './request-record.js';
import type { Summary } from './summary.js';

const HIGHEST_MS = 600_000;
const DIGITS = 3;

/** Computes percentiles of the time to first token. A request without any counts with the time until it was given up. */
export function computeSummary(records: readonly RequestRecord[]): Summary {
  const histogram = build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: DIGITS });
  for (const { firstTokenMs, totalMs } of records) {
    histogram.recordValue(Math.max(1, Math.round(firstTokenMs ?? totalMs)));
  }
  const pick = (part: number): number => histogram.getValueAtPercentile(part);
  return { count: records.length, p50: pick(50), p95: pick(95), p99: pick(99) };
}
