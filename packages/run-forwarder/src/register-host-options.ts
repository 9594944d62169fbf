import type { ObjectSource } from '@laburnumshift/forward-types';
import type { PeerHost } from '@laburnumshift/share-load';
import type { PlatformClient } from '@laburnumshift/types';

/** Options of the registration of a host. */
export interface RegisterHostOptions {
  readonly source: ObjectSource;
  readonly leases: Pick<PlatformClient, 'readObject' | 'writeObject'>;
  /** Kind of the objects that register hosts. */
  readonly kind: string;
  readonly self: PeerHost;
  /** True when the whole fleet starts for the first time, so that the other hosts are registering at the same time. */
  readonly isFirstStart: boolean;
}
