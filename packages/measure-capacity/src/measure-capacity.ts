import type { CapacityResult } from './capacity-result.js';
import { computeLine } from './compute-line.js';
import { MEASUREMENTS } from './measurements.js';
import { readCommit } from './read-commit.js';

/**
 * Runs one measurement and fits a line to each of its series.
 *
 * @throws when there is no measurement of this name
 */
export async function measureCapacity(name: string, seed: number): Promise<CapacityResult> {
  const measurement = MEASUREMENTS[name];
  if (measurement === undefined) throw new Error(`unknown measurement ${name}`);
  const series = await measurement.run(seed);
  return {
    command: `npm run capacity -- ${name} --seed ${String(seed)}`,
    measurement: name,
    seed,
    commit: readCommit(),
    series: series.map((one) => ({ ...one, line: computeLine(one.points) })),
  };
}
