import type { ClientAccount } from '@laburnumshift/forward-types';

/** Scope shared by all accounts that may share. */
const SHARED = 'shared';

/**
 * Builds the text under which pieces are cached. It holds the weight version, so pieces of other weights are never found,
 * and the name of an isolated account.
 */
export function buildCacheScope(
  account: ClientAccount | undefined,
  model: string,
  version: number | undefined,
): string {
  const owner = account?.isIsolated === true ? `account-${account.name}` : SHARED;
  return `${owner}.${model}.${String(version ?? 0)}`;
}
