import type { OutdatedEngine } from './outdated-engine.js';

/**
 * Number of batches in which the engines of a service load new weights: all finish within the usual bound, and most stay in
 * service.
 */
const BATCH_COUNT = 3;

const getVersion = ({ engine, model }: OutdatedEngine): number => engine.versions.get(model) ?? 0;

/**
 * Chooses the engines that get orders next, so that at most a third of `engineCount`, rounded up, is out of service at once.
 * Those with the oldest weights come first, so that none is passed over when versions follow each other faster than they are loaded.
 * Marked engines are already out of service and counted in `activeCount`, so all of them are chosen, also beyond that bound.
 */
export function chooseNextOrders(
  outdated: readonly (OutdatedEngine & { readonly isMarked: boolean })[],
  activeCount: number,
  engineCount: number,
): OutdatedEngine[] {
  const maxActive = Math.ceil(engineCount / BATCH_COUNT);
  const marked = outdated.filter(({ isMarked }) => isMarked);
  const unmarked = outdated
    .filter(({ isMarked }) => !isMarked)
    .sort((a, b) => getVersion(a) - getVersion(b) || (a.engine.id < b.engine.id ? -1 : 1));
  return [...marked, ...unmarked.slice(0, Math.max(0, maxActive - activeCount))];
}
