import type { Cost } from './cost.js';
import type { Sums } from './sums.js';

const PERCENT = 100;
const KB = 1000;
const MB = 1e6;

/** Renders the duties and sums of a scenario as a table of Markdown. */
export function renderSums({ duties, control, request, platform, daily }: Sums): string {
  const format = (value: number): string => (value < 0.005 ? '0' : value.toPrecision(value < 0.1 ? 1 : 2));
  const print = (value: number): string => (value >= 100 ? value.toFixed(0) : format(value));
  const renderCost = ({ core, bytes, memory }: Cost): string =>
    [core * PERCENT, bytes / KB, memory / MB].map(print).join(' | ');
  const renderPair = (name: string, pair: { readonly mean: Cost; readonly most: Cost }): string =>
    `| ${name} | ${renderCost(pair.mean)} | ${renderCost(pair.most)} |`;
  const rows = duties.map((duty) => {
    const { reads = 0, writes = 0, waiting = 0 } = duty.platform ?? {};
    const calls = [reads, writes, waiting].map(print).join(' / ');
    return `${renderPair(`${duty.kind} | ${duty.role}: ${duty.duty}`, duty)} ${calls} |`;
  });
  const all = [platform.reads, platform.writes, platform.waiting].map(print).join(' / ');
  return [
    '| kind | role: duty | mean % core | KB/s | MB | most % core | KB/s | MB | reads / writes / waiting |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    `${renderPair('**sum** | control', control)} ${all} |`,
    `${renderPair('**sum** | request', request)} |`,
    '',
    '| restarts, failures and limits | figure | unit |',
    '| --- | --- | --- |',
    ...daily.map(({ name, value, unit }) => `| ${name} | ${print(value)} | ${unit} |`),
    '',
  ].join('\n');
}
