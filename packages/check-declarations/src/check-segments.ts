import { formatPath } from '@laburnumshift/read-settings';
import type { ConfigSegment, Finding } from '@laburnumshift/types';
import { checkKinds } from './check-kinds.js';
import { checkNames } from './check-names.js';
import { checkReferences } from './check-references.js';

/** Checks across files. Without a way to find positions, lines and columns are 0. */
export function checkSegments(
  segments: readonly ConfigSegment[],
  findPosition: (
    file: string,
    path: readonly PropertyKey[],
  ) => { readonly line: number; readonly column: number } = () => ({ line: 0, column: 0 }),
): readonly Finding[] {
  return [...checkNames(segments), ...checkKinds(segments), ...checkReferences(segments)].map(
    ({ file, path, message }) => ({ file, ...findPosition(file, path), path: formatPath(path), message }),
  );
}
