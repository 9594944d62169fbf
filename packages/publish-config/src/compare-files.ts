import type { FileChange } from './file-change.js';

/** Compares two lists of segments by file; only files below the prefix count. */
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
