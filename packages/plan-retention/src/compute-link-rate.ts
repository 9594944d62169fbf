import type { StoreView } from '@laburnumshift/types';

/** Computes the rate that is left for us on a store's link, bytes per second, from its last report. */
export function computeLinkRate(store: StoreView): number {
  const { stat } = store;
  if (!store.alive || stat === undefined) return 0;
  return stat.linkBytesPerSecond * (1 - stat.otherShare);
}
