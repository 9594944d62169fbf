import type { RequestRecord } from './request-record.js';

/** Requests of an account below which its mean says little. */
const MIN_COUNT = 10;
/** Time to first token of an empty prompt, which keeps short prompts from dominating the ratio. */
const BASE_MS = 20;
const MS_PER_S = 1_000;

/** Computes the ratio between the worst and the best account's mean slowdown (time to first token over that of a cold, idle engine). */
export function computeUnfairness(records: readonly RequestRecord[], tokensPerSecond: number): number {
  const accounts = new Map<string, number[]>();
  for (const { request, firstTokenMs, totalMs } of records) {
    const slowdowns = accounts.get(request.account) ?? [];
    accounts.set(request.account, slowdowns);
    const idleMs = BASE_MS + (request.tokens / tokensPerSecond) * MS_PER_S;
    slowdowns.push((firstTokenMs ?? totalMs) / idleMs);
  }
  const means = [...accounts.values()]
    .filter((slowdowns) => slowdowns.length >= MIN_COUNT)
    .map((slowdowns) => slowdowns.reduce((sum, value) => sum + value, 0) / slowdowns.length);
  return means.length === 0 ? 1 : Math.max(...means) / Math.min(...means);
}
