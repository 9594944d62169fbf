import { createHash } from 'node:crypto';
import type { ClientAccount, ForwardConfig } from '@laburnumshift/forward-types';

/** Owner of pieces that all accounts share while none is isolated. */
const SHARED = 'shared';
const DIGEST_LENGTH = 16;
/** Owners of shared pieces by the isolated accounts of a configuration. */
const sharedOwners = new WeakMap<ForwardConfig['isolatedAccounts'], string>();

const computeSharedOwner = (isolatedAccounts: ForwardConfig['isolatedAccounts']): string => {
  if (isolatedAccounts.size === 0) return SHARED;
  const names = JSON.stringify([...isolatedAccounts].sort());
  return `${SHARED}-${createHash('sha256').update(names).digest('hex').slice(0, DIGEST_LENGTH)}`;
};

/**
 * Returns the owner of the pieces that a call uses and makes. The owner of shared pieces is named after the accounts that are isolated:
 * what an account made before its isolation stays under the owner of that time, where no call looks while the account is isolated. All
 * hosts derive it from the configuration alone.
 *
 * @param account as it was when the call arrived; `undefined` without a key
 * @param isolatedAccounts those of the newest configuration
 */
export function computeCacheOwner(
  account: Pick<ClientAccount, 'name' | 'isIsolated'> | undefined,
  isolatedAccounts: ForwardConfig['isolatedAccounts'],
): string {
  if (account !== undefined && (account.isIsolated || isolatedAccounts.has(account.name)))
    return `account-${account.name}`;
  const owner = sharedOwners.get(isolatedAccounts) ?? computeSharedOwner(isolatedAccounts);
  sharedOwners.set(isolatedAccounts, owner);
  return owner;
}
