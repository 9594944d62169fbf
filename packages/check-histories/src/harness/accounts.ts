import { createHash } from 'node:crypto';
import type { AccountConfig } from '@laburnumshift/types';

const NAMES = ['north', 'south', 'west'];
const LIMITS = { requestsPerSecond: 10_000, tokensPerSecond: 10_000_000, concurrent: 10_000 };

/** Accounts of the callers with their keys and published values. */
export const ACCOUNTS: readonly {
  readonly name: string;
  readonly key: string;
  readonly config: AccountConfig;
}[] = NAMES.map((name) => {
  const key = `${name}-history-key`;
  const sha256 = createHash('sha256').update(key).digest('hex');
  const config = { name, keys: [{ sha256 }], weight: 1, limits: LIMITS, storeBytes: 1e12 };
  return { name, key, config };
});
