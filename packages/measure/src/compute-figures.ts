import { build } from 'hdr-histogram-js';
import type { ClassFigures } from './class-figures.js';
import type { RequestResult } from './request-result.js';

const HIGHEST_MS = 3_600_000;

/** Computes the percentiles of a group of requests. */
export function computeFigures(results: readonly Pick<RequestResult, 'ttftMs' | 'refused'>[]): ClassFigures {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const { ttftMs } of results) histogram.recordValue(Math.max(1, Math.round(ttftMs)));
  return {
    count: results.length,
    refused: results.filter((result) => result.refused).length,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}
