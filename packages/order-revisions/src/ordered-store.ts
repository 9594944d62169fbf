import type { ObjectSource } from '@laburnumshift/forward-types';
import type { PlatformClient } from '@laburnumshift/types';
import type { StoreEra } from './store-era.js';

/** Clients of the store whose revisions and versions keep their order over restores. */
export interface OrderedStore {
  readonly source: ObjectSource;
  readonly leases: Pick<PlatformClient, 'readObject' | 'writeObject'>;
  readonly era: StoreEra;
}
