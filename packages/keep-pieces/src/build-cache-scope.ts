import type { ClientAccount } from '@laburnumshift/forward-types';

/** Owner of pieces that all accounts without isolation share. */
const SHARED = 'shared';

/**
 * Builds the scope under which pieces are cached, `MODEL/VERSION/OWNER`. It contains the weight version, so that pieces of other
 * weights are never found, and the name of an isolated account. An unknown version is written as 0.
 */
export function buildCacheScope(
  account: Pick<ClientAccount, 'name' | 'isIsolated'> | undefined,
  model: string,
  version: number | undefined,
): string {
  const owner = account?.isIsolated === true ? `account-${account.name}` : SHARED;
  return `${model}/${String(version ?? 0)}/${owner}`;
}
