import type { ClientAccount } from '@laburnumshift/forward-types';
import { computeCacheOwner } from '@laburnumshift/keep-pieces';
import type { FleetView } from '@laburnumshift/track-fleet';

const NO_ACCOUNTS: ReadonlySet<string> = new Set();

/** Returns the owner of the cached pieces of a call by the newest configuration: an account may be isolated while its calls wait. */
export function getCacheOwner(
  fleet: Pick<FleetView, 'getConfig'>,
  account: ClientAccount | undefined,
): string {
  return computeCacheOwner(account, fleet.getConfig()?.sharingAccounts ?? NO_ACCOUNTS);
}
