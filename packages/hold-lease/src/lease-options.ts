import type { StoreEra } from '@laburnumshift/order-revisions';
import type { Member, PlatformClient } from '@laburnumshift/types';
import type { LeaseDurations } from './lease-durations.js';

/** Options of `holdLease`. */
export interface LeaseOptions {
  readonly platform: Pick<PlatformClient, 'readObject' | 'writeObject'>;
  /** Name of the platform object `lease/NAME`. */
  readonly name: string;
  readonly self: Pick<Member, 'host' | 'incarnation'>;
  /** Returns false while this node must not compete for the lease; a held lease is then released. Always true by default. */
  readonly isWanted?: (() => boolean) | undefined;
  /** Era of the store, which may be restored from a copy; without it the lease object is never lost. */
  readonly era?: Pick<StoreEra, 'getEra' | 'getAgeMs'> | undefined;
  /** Durations of the lease; those that this package exports by default. */
  readonly durations?: LeaseDurations | undefined;
  /** Returns the pause between two checks of the lease, milliseconds; that of the durations by default. */
  readonly getPollMs?: (() => number) | undefined;
}
