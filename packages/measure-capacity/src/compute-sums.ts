import { computeControl } from './compute-control.js';
import { computeDaily } from './compute-daily.js';
import { computeRequests } from './compute-requests.js';
import type { Duty } from './duty.js';
import type { Lookup } from './lookup.js';
import { SCENARIOS } from './scenarios.js';
import { addCosts } from './add-costs.js';
import type { Sums } from './sums.js';

/** Computes the sums of all scenarios from fitted lines. */
export function computeSums(get: Lookup): Readonly<Record<string, Sums>> {
  const sums = Object.entries(SCENARIOS).map(([name, scenario]): [string, Sums] => {
    const duties = [...computeControl(scenario, get), ...computeRequests(scenario, get)];
    const computeKind = (kind: Duty['kind']): Sums['control'] => {
      const own = duties.filter((duty) => duty.kind === kind);
      return { mean: addCosts(own.map(({ mean }) => mean)), most: addCosts(own.map(({ most }) => most)) };
    };
    const countCalls = (type: 'reads' | 'writes' | 'waiting'): number =>
      duties.reduce((sum, { platform }) => sum + (platform?.[type] ?? 0), 0);
    const platform = {
      reads: countCalls('reads'),
      writes: countCalls('writes'),
      waiting: countCalls('waiting'),
    };
    return [
      name,
      {
        scenario,
        duties,
        control: computeKind('control'),
        request: computeKind('request'),
        platform,
        daily: computeDaily(scenario, get),
      },
    ];
  });
  return Object.fromEntries(sums);
}
