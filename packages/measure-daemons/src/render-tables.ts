import type { DaemonResult } from './daemon-result.js';
import type { RunFigures } from './run-figures.js';

const PERCENT = 100;

function renderRows(rows: readonly (readonly string[])[]): string {
  return rows.map((row) => `| ${row.join(' | ')} |`).join('\n');
}

function renderCandidate(name: string, run: RunFigures): readonly string[] {
  const { interactive, urgent } = run;
  return [
    name,
    String(interactive.p50),
    String(interactive.p95),
    String(interactive.p99),
    String(urgent.p99),
    `${(run.shareRecomputed * PERCENT).toFixed(1)} %`,
    run.linkGigabytes.toFixed(1),
    `${(run.peakLinkUse * PERCENT).toFixed(0)} %`,
    String(run.failed.length),
    run.unfairness.toFixed(2),
  ];
}

function renderCandidates(candidates: Readonly<Record<string, RunFigures>>): string {
  const head =
    'candidate,p50 ms,p95 ms,p99 ms,urgent p99 ms,recomputed,link GB,peak link,failed,unfairness'.split(',');
  const rows = Object.entries(candidates).map(([name, run]) => renderCandidate(name, run));
  return renderRows([head, head.map(() => '---'), ...rows]);
}

function renderResult({ scenario, command, commit, figures }: DaemonResult): string {
  const rows = figures.targets.map(({ target, limit, measured, met }) => [
    target,
    `at most ${String(limit)}`,
    // JSON has no infinity: a figure that was not reached is null.
    (measured as number | null) === null ? 'not reached' : String(measured),
    met ? 'met' : '**not met**',
  ]);
  const head = ['what', 'target', 'measured', 'result'];
  const parts = [
    `### ${scenario}`,
    `\`${command}\` at ${commit}`,
    renderRows([head, head.map(() => '---'), ...rows]),
  ];
  if (figures.load !== undefined)
    parts.push(renderCandidates(figures.candidates as Readonly<Record<string, RunFigures>>));
  return parts.join('\n\n');
}

/** Renders results as short tables in Markdown, for docs/measurements.md. */
export function renderTables(results: readonly DaemonResult[]): string {
  return `${results.map(renderResult).join('\n\n')}\n`;
}
