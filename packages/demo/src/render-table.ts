import type { DemoFigures } from './demo-figures.js';

const GIB = 1024 ** 3;

/** Renders the figures as a short table. */
export function renderTable(figures: DemoFigures): string {
  const rows: readonly (readonly [string, string])[] = [
    ['time to first token, first run', `${String(figures.firstTokenFirstMs)} ms`],
    ['time to first token, on return', `${String(figures.firstTokenReturnMs)} ms`],
    ['share recomputed on return', `${(figures.shareRecomputedOnReturn * 100).toFixed(1)} %`],
    ['moved over store links', `${(figures.linkBytes / GIB).toFixed(1)} GiB`],
    ['urgent calls beside long ones, p95', `${String(figures.urgentP95Ms)} ms`],
    ['booking sent twice', `${String(figures.bookingRuns)} run`],
    ['booking resent after a daemon was killed', `${String(figures.bookingAfterKillRuns)} run`],
    ['answers with blocks of another account or version', String(figures.wrongBlocks)],
  ];
  const width = Math.max(...rows.map(([name]) => name.length));
  const lines = rows.map(([name, value]) => `${name.padEnd(width)}  ${value}`);
  const verdict =
    figures.broken.length === 0 ? 'All promises held.' : `Broken: ${figures.broken.join('; ')}.`;
  return [...lines, verdict].join('\n');
}
