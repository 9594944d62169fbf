import { readdir } from 'node:fs/promises';
import { join } from 'node:path';

const SUFFIX = '.laburnum.jsonc';

/** Collects the declaration files below a directory, with forward slashes, sorted. Skips `node_modules` and hidden directories. */
export async function collectFiles(directory: string, prefix = ''): Promise<readonly string[]> {
  const entries = await readdir(join(directory, prefix), { withFileTypes: true });
  const found = await Promise.all(
    entries.map(async (entry) => {
      const path = prefix === '' ? entry.name : `${prefix}/${entry.name}`;
      if (entry.isFile() && entry.name.endsWith(SUFFIX)) return [path];
      const skipped = entry.name === 'node_modules' || entry.name.startsWith('.');
      return entry.isDirectory() && !skipped ? await collectFiles(directory, path) : [];
    }),
  );
  return found.flat().sort();
}
