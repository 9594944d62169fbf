import type { FileChange } from './file-change.js';

/**
 * Lists the files whose segment hashes differ between two maps of hashes by file, sorted by name. Only files that start
 * with `prefix` are compared.
 */
export function compareFiles(
  before: Readonly<Record<string, string>>,
  after: Readonly<Record<string, string>>,
  prefix = '',
): readonly FileChange[] {
  const files = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return files
    .filter((file) => file.startsWith(prefix) && before[file] !== after[file])
    .map((file) => ({
      file,
      change: before[file] === undefined ? 'added' : after[file] === undefined ? 'removed' : 'changed',
    }));
}
