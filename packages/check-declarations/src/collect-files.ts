import { readdir } from 'node:fs/promises';
import { join } from 'node:path';

const SUFFIX = '.laburnum.jsonc';

/**
 * Lists the declaration files below a directory, except in `node_modules` and in directories whose name begins with a dot.
 *
 * @param prefix subdirectory to start in, relative to `directory`
 * @returns sorted paths relative to `directory`, with forward slashes
 * @throws the file system error when a directory cannot be read
 */
export async function collectFiles(directory: string, prefix = ''): Promise<readonly string[]> {
  const entries = await readdir(join(directory, prefix), { withFileTypes: true });
  const paths = await Promise.all(
    entries.map(async (entry) => {
      const path = prefix === '' ? entry.name : `${prefix}/${entry.name}`;
      if (entry.isFile() && entry.name.endsWith(SUFFIX)) return [path];
      const isSkipped = entry.name === 'node_modules' || entry.name.startsWith('.');
      return entry.isDirectory() && !isSkipped ? await collectFiles(directory, path) : [];
    }),
  );
  return paths.flat().sort();
}
