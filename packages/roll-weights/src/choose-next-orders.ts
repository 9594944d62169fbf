import type { OutdatedEngine } from './outdated-engine.js';

/** Share of a service's engines that may be out of service for new weights at once. */
const OUT_SHARE = 0.5;

/**
 * Chooses engines to order next, never so many that too few are left in service. Engines that are marked for an order are out of
 * service already and counted in `activeCount`, so all of them are taken up.
 */
export function chooseNextOrders(
  outdated: readonly (OutdatedEngine & { readonly isMarked: boolean })[],
  activeCount: number,
  engineCount: number,
): OutdatedEngine[] {
  const most = Math.max(1, Math.floor(engineCount * OUT_SHARE));
  const marked = outdated.filter(({ isMarked }) => isMarked);
  const others = outdated
    .filter(({ isMarked }) => !isMarked)
    .sort((a, b) => (a.engine.id < b.engine.id ? -1 : 1));
  return [...marked, ...others.slice(0, Math.max(0, most - activeCount))];
}
