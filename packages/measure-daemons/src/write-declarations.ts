import { createHash } from 'node:crypto';
import { cp, readdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { replaceAddresses } from '@laburnumshift/fakes/site';
import { SMALL_ACCOUNTS } from './small-accounts.js';

const SMALL_LIMITS = { requestsPerSecond: 60, tokensPerSecond: 500_000, concurrent: 60 };
const SMALL_STORE_BYTES = 5_000_000_000;

/** Copies example declarations with the addresses of the fakes, and adds the small accounts to every service. */
export async function writeDeclarations(
  from: string,
  to: string,
  addresses: ReadonlyMap<string, string>,
): Promise<void> {
  await cp(from, to, { recursive: true });
  const names = SMALL_ACCOUNTS.map((name) => JSON.stringify(name)).join(', ');
  for (const entry of await readdir(to, { recursive: true, withFileTypes: true })) {
    if (!entry.isFile()) continue;
    const file = join(entry.parentPath, entry.name);
    const text = replaceAddresses(await readFile(file, 'utf8'), addresses);
    await writeFile(file, text.replaceAll('"accounts": ["', `"accounts": [${names}, "`));
  }
  const accounts = SMALL_ACCOUNTS.map((name) => ({
    name,
    keys: [{ sha256: createHash('sha256').update(`${name}-demo-key`).digest('hex') }],
    weight: 1,
    limits: SMALL_LIMITS,
    storeBytes: SMALL_STORE_BYTES,
  }));
  await writeFile(join(to, 'small-accounts.laburnum.jsonc'), JSON.stringify({ accounts }));
}
