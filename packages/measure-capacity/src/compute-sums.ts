import { readFileSync } from 'node:fs';
import type { CapacityResult } from './capacity-result.js';
import { computeControl } from './compute-control.js';
import { computeRequests } from './compute-requests.js';
import type { Duty } from './duty.js';
import type { Lookup } from './lookup.js';
import { SCENARIOS } from './scenarios.js';
import { sumCosts } from './sum-costs.js';
import type { Sums } from './sums.js';

/** Computes the sums of all scenarios from the results in a folder. */
export function computeSums(folder: string): Readonly<Record<string, Sums>> {
  const results = new Map<string, CapacityResult>();
  const get: Lookup = (measurement, name, x = 1) => {
    const result =
      results.get(measurement) ??
      (JSON.parse(readFileSync(`${folder}/${measurement}.json`, 'utf8')) as CapacityResult);
    results.set(measurement, result);
    const series = result.series.find((one) => one.name === name);
    if (series === undefined) throw new Error(`no series '${name}' in '${measurement}'`);
    return Math.max(0, series.line.intercept + series.line.slope * x);
  };
  const sums = Object.entries(SCENARIOS).map(([name, scenario]): [string, Sums] => {
    const duties = [...computeControl(scenario, get), ...computeRequests(scenario, get)];
    const sumKind = (kind: Duty['kind']): Sums['control'] => {
      const own = duties.filter((duty) => duty.kind === kind);
      return { mean: sumCosts(own.map(({ mean }) => mean)), most: sumCosts(own.map(({ most }) => most)) };
    };
    const sumCalls = (type: 'reads' | 'writes' | 'waiting'): number =>
      duties.reduce((sum, { platform }) => sum + (platform?.[type] ?? 0), 0);
    const platform = { reads: sumCalls('reads'), writes: sumCalls('writes'), waiting: sumCalls('waiting') };
    return [name, { scenario, duties, control: sumKind('control'), request: sumKind('request'), platform }];
  });
  return Object.fromEntries(sums);
}
