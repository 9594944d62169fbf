import { formatPath } from '@laburnumshift/read-settings';
import type { ConfigSegment, PlatformClient } from '@laburnumshift/types';
import { compareFiles } from './compare-files.js';
import { compareValues } from './compare-values.js';
import { fetchSegments } from './fetch-segments.js';
import type { FileChange } from './file-change.js';
import type { PlatformFailure } from './platform-failure.js';
import { readHead } from './read-head.js';
import { buildTarget } from './build-target.js';

/** Differences from the current configuration. */
interface ConfigDiff {
  readonly kind: 'compared';
  readonly generation: number;
  /** Added, removed and changed files. `paths` lists the differing paths of a changed file and is empty for others. */
  readonly changes: readonly (FileChange & { readonly paths: readonly string[] })[];
}

/** Compares segments with the current configuration in the same way as `publishConfig`. */
export async function diffConfig(
  platform: PlatformClient,
  segments: readonly ConfigSegment[],
  scope?: string,
): Promise<ConfigDiff | PlatformFailure> {
  const { prefix, target, contents } = buildTarget(segments, scope);
  const current = await readHead(platform);
  if (current.kind === 'unavailable') return current;
  const before = current.head.segments;
  const files = compareFiles(before, target, prefix);
  const changed = files.filter(({ change }) => change === 'changed');
  const failure = await fetchSegments(
    platform,
    changed.flatMap(({ file }) => before[file] ?? []),
    contents,
  );
  if (failure !== undefined) return failure;
  const findContent = (hash: string | undefined): ConfigSegment | undefined => contents.get(hash ?? '');
  const changes = files.map(({ file, change }) => ({
    file,
    change,
    paths:
      change === 'changed'
        ? compareValues(findContent(before[file]), findContent(target[file])).map(formatPath)
        : [],
  }));
  return { kind: 'compared', generation: current.head.generation, changes };
}
