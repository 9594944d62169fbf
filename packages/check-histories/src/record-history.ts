import type { History } from './history/history.js';
import type { CallerResult } from './history/caller-result.js';
import type { RunSummary } from './run-summary.js';

/** Adds a history to the counts. */
export function recordHistory(summary: RunSummary, history: History, faults: readonly string[]): void {
  const addCount = (counts: Record<string, number>, name: string, amount = 1): void => {
    counts[name] = (counts[name] ?? 0) + amount;
  };
  const { completions, bookings, publications, leavings, lives, generations } = history;
  summary.runs += 1;
  const operations = { completions, bookings, publications, leavings, generations };
  for (const [name, list] of Object.entries(operations)) addCount(summary.operations, name, list.length);
  addCount(summary.operations, 'stops', lives.filter(({ stopMs }) => stopMs !== undefined).length);
  addCount(summary.operations, 'kills', lives.filter(({ killed }) => killed).length);
  addCount(summary.operations, 'engine runs', Object.values(history.engineRuns).flat().length);
  addCount(summary.operations, 'service runs', Object.values(history.serviceCalls).flat().length);
  for (const [name, amount] of Object.entries(history.engineWork)) addCount(summary.operations, name, amount);
  for (const name of new Set(faults)) addCount(summary.faults, name);
  summary.pairs.add([...faults].sort().join(' + '));
  for (const { result } of [...completions, ...bookings]) addCount(summary.results, describeResult(result));
  for (const { result } of publications) addCount(summary.results, `publish: ${result.kind}`);
}

function describeResult(result: CallerResult): string {
  return result.kind === 'refused' ? `${result.code} (${result.outcome})` : result.kind;
}
