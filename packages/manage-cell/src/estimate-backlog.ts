import type { EngineRecord } from './engine-record.js';

const MS_PER_S = 1000;

/** Estimates the prompt tokens that still wait for prefill on an engine. */
export function estimateBacklog(record: EngineRecord, nowMs: number): number {
  const worked = ((nowMs - record.backlogAtMs) / MS_PER_S) * record.prefillRate;
  return Math.max(0, record.backlogTokens - worked);
}
