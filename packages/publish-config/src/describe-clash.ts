import { formatPath } from '@laburnumshift/read-settings';
import type { ConfigHead, ConfigSegment, Finding } from '@laburnumshift/types';
import { compareValues } from './compare-values.js';
import type { PublishRequest } from './publish-request.js';

type Version = ConfigSegment | undefined;

/** Describes a file that two operators changed, with one finding for each place. */
export function describeClash(
  file: string,
  versions: { readonly base: Version; readonly ours: Version; readonly theirs: Version },
  winner: ConfigHead,
  findPosition: PublishRequest['findPosition'],
): readonly Finding[] {
  const [ourPath = []] = compareValues(versions.base, versions.ours);
  const [theirPath = []] = compareValues(versions.base, versions.theirs);
  const who = `${winner.author} in generation ${String(winner.generation)} (change ${winner.changeId})`;
  const describeChange = (version: Version): string => (version === undefined ? 'removed' : 'changed');
  return [
    {
      file,
      ...(findPosition?.(file, ourPath) ?? { line: 0, column: 0 }),
      path: formatPath(ourPath),
      message: `${describeChange(versions.ours)} here, and also by ${who}; publish again from the newest generation`,
    },
    {
      file: `generation ${String(winner.generation)}:${file}`,
      line: 0,
      column: 0,
      path: formatPath(theirPath),
      message: `${describeChange(versions.theirs)} by ${who}`,
    },
  ];
}
