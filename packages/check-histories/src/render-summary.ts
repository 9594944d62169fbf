import type { RunSummary } from './run-summary.js';
import { INVARIANTS } from './history/invariants.js';

/** Renders the counts of a run and its failures as text. */
export function renderSummary(summary: RunSummary): string {
  const renderCounts = (title: string, counts: Readonly<Record<string, number>>): readonly string[] => [
    title,
    ...Object.entries(counts)
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([name, count]) => `  ${name.padEnd(42)}${String(count).padStart(9)}`),
  ];
  const violations = Object.entries(INVARIANTS).map(
    ([name, text]) => [`${name} ${text}`.slice(0, 41), summary.violations[name] ?? 0] as const,
  );
  return [
    `histories run: ${String(summary.runs)}, pairs of faults: ${String(summary.pairs.size)}`,
    ...renderCounts('operations', summary.operations),
    ...renderCounts('histories by fault', summary.faults),
    ...renderCounts('results', summary.results),
    ...renderCounts('histories that broke an invariant', Object.fromEntries(violations)),
    ...summary.errors.map(({ seed, detail }) => `seed ${String(seed)} could not be run: ${detail}`),
    ...summary.failures.flatMap(({ seed, schedule, violations: broken }) => [
      `seed ${String(seed)} breaks:`,
      ...broken.slice(0, 10).map(({ invariant, detail }) => `  ${invariant}: ${detail}`),
      `  schedule: ${JSON.stringify(schedule)}`,
    ]),
    '',
  ].join('\n');
}
