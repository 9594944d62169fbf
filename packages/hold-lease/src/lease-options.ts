import type { Member, PlatformClient } from '@laburnumshift/types';

/** Options of a lease. */
export interface LeaseOptions {
  readonly platform: PlatformClient;
  /** Name of the object `lease/NAME`. */
  readonly name: string;
  readonly self: Pick<Member, 'host' | 'incarnation'>;
  /** False while this node shall not compete for the lease; a held lease is then released. Always true by default. */
  readonly isWanted?: (() => boolean) | undefined;
}
