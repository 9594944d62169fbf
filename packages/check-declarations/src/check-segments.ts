import { formatPath } from '@laburnumshift/read-settings';
import type { ConfigSegment, Finding } from '@laburnumshift/types';
import { checkKinds } from './check-kinds.js';
import { checkNames } from './check-names.js';
import { checkReferences } from './check-references.js';

/**
 * Checks names, kinds and references across all segments of a configuration.
 *
 * @param findPosition returns the 1-based line and column of a path in a file; by default both are reported as 0
 */
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
