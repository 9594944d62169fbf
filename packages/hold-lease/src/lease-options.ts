import type { Member, PlatformClient } from '@laburnumshift/types';
import type { LeaseDurations } from './lease-durations.js';

/** Options of a lease. */
export interface LeaseOptions {
  readonly platform: Pick<PlatformClient, 'readObject' | 'writeObject'>;
  /** Name of the object `lease/NAME`. */
  readonly name: string;
  readonly self: Pick<Member, 'host' | 'incarnation'>;
  /** False while this node shall not compete for the lease; a held lease is then released. Always true by default. */
  readonly isWanted?: (() => boolean) | undefined;
  /** `LEASE_TIMES` by default. */
  readonly times?: LeaseDurations | undefined;
  /** Pause between two looks at the lease, milliseconds; `times.pollMs` by default. */
  readonly getPollMs?: (() => number) | undefined;
}
