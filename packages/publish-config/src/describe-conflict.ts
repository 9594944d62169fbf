import { formatPath } from '@laburnumshift/read-settings';
import type { ConfigHead, ConfigSegment, Finding } from '@laburnumshift/types';
import { compareValues } from './compare-values.js';
import type { PublishRequest } from './publish-request.js';

type SegmentVersion = ConfigSegment | undefined;

/**
 * Describes a file that was changed both by this operator and by another one, with one finding for each of the two
 * changes.
 */
export function describeConflict(
  file: string,
  versions: { readonly base: SegmentVersion; readonly ours: SegmentVersion; readonly theirs: SegmentVersion },
  currentHead: ConfigHead,
  findPosition: PublishRequest['findPosition'],
): readonly Finding[] {
  const [ourPath = []] = compareValues(versions.base, versions.ours);
  const [theirPath = []] = compareValues(versions.base, versions.theirs);
  const otherChange = `${currentHead.author} in generation ${String(currentHead.generation)} (change ${currentHead.changeId})`;
  const describeChange = (version: SegmentVersion): string => (version === undefined ? 'removed' : 'changed');
  return [
    {
      file,
      ...(findPosition?.(file, ourPath) ?? { line: 0, column: 0 }),
      path: formatPath(ourPath),
      message: `${describeChange(versions.ours)} here, and also by ${otherChange}; publish again from the newest generation`,
    },
    {
      file: `generation ${String(currentHead.generation)}:${file}`,
      line: 0,
      column: 0,
      path: formatPath(theirPath),
      message: `${describeChange(versions.theirs)} by ${otherChange}`,
    },
  ];
}
