import { createHash } from 'node:crypto';
import type { ClientAccount, ForwardConfig } from '@laburnumshift/forward-types';

/** Owner of the pieces of calls without an account while no account shares pieces. */
const SHARED = 'shared';
const DIGEST_LENGTH = 16;
/** Owners of shared pieces by the sharing accounts of a configuration. */
const sharedOwners = new WeakMap<ForwardConfig['sharingAccounts'], string>();

const computeSharedOwner = (sharingAccounts: ForwardConfig['sharingAccounts']): string => {
  if (sharingAccounts.size === 0) return SHARED;
  const names = JSON.stringify([...sharingAccounts].sort());
  return `${SHARED}-${createHash('sha256').update(names).digest('hex').slice(0, DIGEST_LENGTH)}`;
};

/**
 * Returns the owner of the pieces that a call uses and makes. The owner of shared pieces is named after the accounts that share them,
 * so every account that ever made pieces under a name is one that shares them now. An account that is isolated or removed leaves
 * what it made before under the owner of that time. All hosts derive it from the configuration alone, whatever came before it.
 *
 * @param account as it was when the call arrived; `undefined` without a key
 * @param sharingAccounts those of the newest configuration
 */
export function computeCacheOwner(
  account: Pick<ClientAccount, 'name' | 'isIsolated'> | undefined,
  sharingAccounts: ForwardConfig['sharingAccounts'],
): string {
  if (account !== undefined && (account.isIsolated || !sharingAccounts.has(account.name)))
    return `account-${account.name}`;
  const owner = sharedOwners.get(sharingAccounts) ?? computeSharedOwner(sharingAccounts);
  sharedOwners.set(sharingAccounts, owner);
  return owner;
}
