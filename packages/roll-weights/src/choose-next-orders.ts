import type { OutdatedEngine } from './outdated-engine.js';

/** Share of a service's engines that may be out of service for new weights at once. */
const OUT_SHARE = 0.5;

/** Chooses engines to order next: the ones with the least work first, never so many that too few are left in service. */
export function chooseNextOrders(
  outdated: readonly (OutdatedEngine & { readonly work: number })[],
  activeCount: number,
  engineCount: number,
): OutdatedEngine[] {
  const most = Math.max(1, Math.floor(engineCount * OUT_SHARE));
  return [...outdated]
    .sort((a, b) => a.work - b.work || (a.engine.id < b.engine.id ? -1 : 1))
    .slice(0, Math.max(0, most - activeCount));
}
