import { createHash, timingSafeEqual } from 'node:crypto';
import type { AccountConfig, AccountKey, Config } from '@laburnumshift/types';

interface KeyEntry {
  readonly account: AccountConfig;
  readonly key: AccountKey;
  readonly digest: Buffer;
}

/** Leading hash bytes that select candidates; hashes of unknown keys tell an attacker nothing about stored ones. */
const INDEX_BYTES = 2;
const indexes = new WeakMap<Config, Map<number, KeyEntry[]>>();

/**
 * Finds the account of a bearer key that is valid now. The digests are compared in constant time.
 *
 * @param authorization value of the `authorization` header
 * @param nowMs milliseconds since the epoch
 */
export function authenticateAccount(
  config: Config,
  authorization: string | undefined,
  nowMs: number,
): AccountConfig | undefined {
  const bearer = /^bearer +(\S+) *$/i.exec(authorization ?? '')?.[1];
  if (bearer === undefined) return undefined;
  const digest = createHash('sha256').update(bearer).digest();
  let found: AccountConfig | undefined;
  for (const entry of getIndex(config).get(digest.readUIntBE(0, INDEX_BYTES)) ?? []) {
    const { notBefore = -Infinity, notAfter = Infinity } = entry.key;
    const valid = notBefore <= nowMs && nowMs < notAfter;
    if (timingSafeEqual(entry.digest, digest) && valid) found ??= entry.account;
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
