import type { KeptCacheStore } from '@laburnumshift/forward-types';

/** Name of a store among the servers whose pieces are tracked. */
export function getStoreId(store: Pick<KeptCacheStore, 'name'>): string {
  return `store ${store.name}`;
}
