import type { StoreState } from '@laburnumshift/types';

/**
 * Computes the bandwidth of a store's link that its last report leaves to this system, bytes per second; 0 for a store
 * that is down or sent no report.
 */
export function computeLinkRate(store: StoreState): number {
  const { stat } = store;
  if (!store.alive || stat === undefined) return 0;
  return stat.linkBytesPerSecond * (1 - stat.otherShare);
}
