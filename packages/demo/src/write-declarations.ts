import { cp, readdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { replaceAddresses } from '@laburnumshift/fakes/site';

/** Copies the example declarations with the addresses of the fakes in place of the declared ones. */
export async function writeDeclarations(
  from: string,
  to: string,
  addresses: ReadonlyMap<string, string>,
): Promise<void> {
  await cp(from, to, { recursive: true });
  for (const entry of await readdir(to, { recursive: true, withFileTypes: true })) {
    if (!entry.isFile()) continue;
    const file = join(entry.parentPath, entry.name);
    await writeFile(file, replaceAddresses(await readFile(file, 'utf8'), addresses));
  }
}
