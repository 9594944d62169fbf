import { createHash, timingSafeEqual } from 'node:crypto';
import type { AccountConfig, AccountKey, Config } from '@laburnumshift/types';

interface KeyEntry {
  readonly account: AccountConfig;
  readonly key: AccountKey;
  readonly digest: Buffer;
}

/**
 * Number of leading bytes of a digest by which keys are indexed. The lookup time may depend on them, but the digest of a
 * guessed key reveals nothing about stored keys.
 */
const INDEX_BYTES = 2;
/** Index of the keys of each configuration. */
const indexes = new WeakMap<Config, Map<number, KeyEntry[]>>();

/**
 * Finds the account of a bearer key that is valid at the given time. Digests of keys are compared in constant time.
 *
 * @param authorization value of the `authorization` header
 * @param nowMs current time, milliseconds since the epoch
 * @returns `undefined` when the header holds no bearer key or no account has the key now
 */
export function authenticateAccount(
  config: Config,
  authorization: string | undefined,
  nowMs: number,
): AccountConfig | undefined {
  const bearerKey = /^bearer +(\S+) *$/i.exec(authorization ?? '')?.[1];
  if (bearerKey === undefined) return undefined;
  const digest = createHash('sha256').update(bearerKey).digest();
  let found: AccountConfig | undefined;
  for (const entry of getIndex(config).get(digest.readUIntBE(0, INDEX_BYTES)) ?? []) {
    const { notBefore = -Infinity, notAfter = Infinity } = entry.key;
    const isValidNow = notBefore <= nowMs && nowMs < notAfter;
    if (timingSafeEqual(entry.digest, digest) && isValidNow) found ??= entry.account;
  }
  return found;
}

function getIndex(config: Config): Map<number, KeyEntry[]> {
  const known = indexes.get(config);
  if (known !== undefined) return known;
  const index = new Map<number, KeyEntry[]>();
  for (const account of Object.values(config.accounts)) {
    for (const key of account.keys) {
      const digest = Buffer.from(key.sha256, 'hex');
      if (digest.length !== 32) continue;
      const slot = digest.readUIntBE(0, INDEX_BYTES);
      index.set(slot, [...(index.get(slot) ?? []), { account, key, digest }]);
    }
  }
  indexes.set(config, index);
  return index;
}
