import { renderColumns } from '../render-columns.js';
import { formatMs } from './format-ms.js';
import { formatValue } from './format-value.js';
import type { StepDetail } from './step-detail.js';

const describeCandidates = (detail: StepDetail): readonly string[] => {
  const candidates = Array.isArray(detail.candidates) ? (detail.candidates as readonly StepDetail[]) : [];
  if (candidates.length === 0) return [];
  const rows = candidates.map(({ engine, queueMs, transferMs, prefillMs, cost }) => [
    engine === detail.engine ? '>' : '',
    formatValue(engine),
    formatMs(queueMs),
    formatMs(transferMs),
    formatMs(prefillMs),
    typeof cost === 'number' ? cost.toFixed(1) : '?',
  ]);
  return renderColumns([['', 'CANDIDATE', 'QUEUE', 'TRANSFER', 'PREFILL', 'COST'], ...rows]);
};

const describeGrant = (detail: StepDetail): readonly string[] => {
  const { engine, weightVersion, cachedPieces, headPieces, imports, estimateMs, cell } = detail;
  const cached = Number(cachedPieces);
  const imported = Number(imports);
  const cacheTexts = [
    cached > 0 ? `${String(cached)} pieces are in its cache` : 'no piece is in its cache',
    ...(imported > 0 ? [`${String(imported)} are imported from the store`] : []),
    ...(imported > 0 ? [`the ${formatValue(headPieces)} before them are cached or computed`] : []),
  ];
  return [
    `cell ${formatValue(cell)} chose ${formatValue(engine)} (weights ${formatValue(weightVersion)}): ` +
      `${cacheTexts.join(', ')}; first token expected after ${formatMs(estimateMs)}`,
    ...describeCandidates(detail),
  ];
};

/** Describes a `place` step: the selected engine with all candidates, a queued request, or a refusal. */
export function describePlace(detail: StepDetail): readonly string[] {
  const { kind, cell, code, retryAfterMs } = detail;
  if (kind === 'granted') return describeGrant(detail);
  if (kind === 'queued') return [`cell ${formatValue(cell)} keeps the request in its queue`];
  return [`cell ${formatValue(cell)} refused: ${formatValue(code)}; retry after ${formatMs(retryAfterMs)}`];
}
