/** Use of a link above which estimates no longer grow: a factor of 20. */
const MAX_USE = 0.95;

/**
 * How many times longer a transfer takes on a link that carries others: the mean of a queue with random arrivals.
 *
 * @param tokensPerMs what is sent over the link now
 * @param linkPerMs what it carries
 */
export function estimateSlowdown(tokensPerMs: number, linkPerMs: number): number {
  return 1 / (1 - Math.min(MAX_USE, tokensPerMs / linkPerMs));
}
