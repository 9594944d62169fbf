/**
 * Splits a limit by demand: no node gets more than it asks for until all are satisfied, and what remains is spread evenly
 * over `nodes`.
 *
 * @param demands demand of each node that asks
 * @returns the share of each, in the order of `demands`; the sum is at most `limit`
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
