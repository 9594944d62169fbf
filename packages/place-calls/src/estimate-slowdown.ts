/** Utilization above which the estimate no longer grows; limits the slowdown to a factor of 20. */
const MAX_UTILIZATION = 0.95;

/**
 * Estimates the factor, 1 to 20, by which a transfer takes longer on a link that carries others: the mean of a queue with random
 * arrivals.
 *
 * @param tokensPerMs current traffic on the link
 * @param linkPerMs capacity of the link, tokens per millisecond
 */
export function estimateSlowdown(tokensPerMs: number, linkPerMs: number): number {
  return 1 / (1 - Math.min(MAX_UTILIZATION, tokensPerMs / linkPerMs));
}
