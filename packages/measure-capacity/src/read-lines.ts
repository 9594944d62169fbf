import { readFileSync } from 'node:fs';
import type { CapacityResult } from './capacity-result.js';
import type { Lookup } from './lookup.js';

/**
 * Reads the lines of all results in a folder.
 *
 * @throws at a look-up when the result or the series is missing
 */
export function readLines(folder: string): Lookup {
  const results = new Map<string, CapacityResult>();
  return (measurement, name, x = 1) => {
    const result =
      results.get(measurement) ??
      (JSON.parse(readFileSync(`${folder}/${measurement}.json`, 'utf8')) as CapacityResult);
    results.set(measurement, result);
    const series = result.series.find((one) => one.name === name);
    if (series === undefined) throw new Error(`no series '${name}' in '${measurement}'`);
    const { slope, intercept } = series.line;
    // A cost that seems to fall with size is one that does not depend on it, measured with noise.
    if (slope < 0) return series.points.reduce((sum, { y }) => sum + y, 0) / series.points.length;
    return Math.max(0, intercept + slope * x);
  };
}
