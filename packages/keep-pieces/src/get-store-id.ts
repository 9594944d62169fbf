import type { CacheStore } from '@laburnumshift/forward-types';

/** Returns the id of a store among the servers whose pieces are tracked; the prefix keeps it apart from engine ids. */
export function getStoreId(store: Pick<CacheStore, 'name'>): string {
  return `store ${store.name}`;
}
