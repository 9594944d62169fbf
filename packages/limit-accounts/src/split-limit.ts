/**
 * Splits a limit by max-min fairness: no node gets more than its demand until all demands are met. What remains is divided evenly
 * over `nodes`, including those without demand.
 *
 * @param demands demand of each node that asks
 * @param nodes number of nodes
 * @returns the share of each node that asks, in the order of `demands`; the sum is at most `limit`
 */
export function splitLimit(limit: number, demands: readonly number[], nodes: number): number[] {
  const shares = demands.map(() => 0);
  const order = demands.map((_, index) => index).sort((a, b) => (demands[a] ?? 0) - (demands[b] ?? 0));
  let left = limit;
  order.forEach((index, position) => {
    const share = Math.min(demands[index] ?? 0, left / (order.length - position));
    shares[index] = share;
    left -= share;
  });
  const extra = left / Math.max(nodes, demands.length, 1);
  return shares.map((share) => share + extra);
}
