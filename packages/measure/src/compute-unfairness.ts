import type { RequestResult } from './request-result.js';

/** Requests of an account below which its mean says little. */
const MIN_COUNT = 20;

/** Computes the ratio between the worst and the best account's mean slowdown (time to first token over that of a cold, idle engine). */
export function computeUnfairness(results: readonly RequestResult[], tokensPerMs: number): number {
  const accounts = new Map<string, { count: number; sum: number }>();
  for (const { request, ttftMs } of results) {
    const account = accounts.get(request.account) ?? { count: 0, sum: 0 };
    accounts.set(request.account, account);
    account.count += 1;
    account.sum += ttftMs / (request.tokens / tokensPerMs);
  }
  const means = [...accounts.values()]
    .filter(({ count }) => count >= MIN_COUNT)
    .map(({ count, sum }) => sum / count);
  return means.length === 0 ? 1 : Math.max(...means) / Math.min(...means);
}
