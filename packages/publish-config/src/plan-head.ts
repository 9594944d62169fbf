import { checkSegments } from '@laburnumshift/check-declarations';
import type { ConfigHead, Finding, PlatformClient } from '@laburnumshift/types';
import { compareFiles } from './compare-files.js';
import { describeClash } from './describe-clash.js';
import { fetchSegments } from './fetch-segments.js';
import type { FileChange } from './file-change.js';
import type { HeadMove } from './head-move.js';
import type { PlatformFailure } from './platform-failure.js';

/** The next head's files, or why there is none. */
type HeadPlan =
  | {
      readonly kind: 'planned';
      readonly files: readonly FileChange[];
      readonly segments: Readonly<Record<string, string>>;
    }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'refused'; readonly findings: readonly Finding[]; readonly files: readonly FileChange[] }
  | PlatformFailure;

/**
 * Applies a move's changes, counted from the base head, to the current head. When others have moved the head since, the
 * changes are rebased if the files are disjoint, and the merged configuration is checked as a whole.
 */
export async function planHead(
  platform: PlatformClient,
  move: HeadMove,
  base: ConfigHead,
  current: ConfigHead,
): Promise<HeadPlan> {
  const { target, contents } = move;
  const files = compareFiles(base.segments, target, move.prefix).filter(
    ({ file }) => current.segments[file] !== target[file],
  );
  if (files.length === 0) return { kind: 'unchanged' };

  const changedByOthers = new Set(compareFiles(base.segments, current.segments).map(({ file }) => file));
  const clashes = files.filter(({ file }) => changedByOthers.has(file));
  if (clashes.length > 0) {
    const sources = [base.segments, current.segments, target];
    const hashes = clashes.flatMap(({ file }) => sources.flatMap((source) => source[file] ?? []));
    const failure = await fetchSegments(platform, hashes, contents);
    if (failure !== undefined) return failure;
    const findings = clashes.flatMap(({ file }) => {
      const [before, theirs, ours] = sources.map((source) => contents.get(source[file] ?? ''));
      return describeClash(file, { base: before, ours, theirs }, current, move.findPosition);
    });
    return { kind: 'refused', findings, files };
  }

  const removed = new Set(files.filter(({ change }) => change === 'removed').map(({ file }) => file));
  const segments = Object.fromEntries([
    ...Object.entries(current.segments).filter(([file]) => !removed.has(file)),
    ...files.flatMap(({ file }) => (target[file] === undefined ? [] : [[file, target[file]] as const])),
  ]);
  const failure = await fetchSegments(platform, Object.values(segments), contents);
  if (failure !== undefined) return failure;
  const merged = Object.values(segments).flatMap((hash) => contents.get(hash) ?? []);
  const findings = checkSegments(merged, move.findPosition);
  return findings.length > 0 ? { kind: 'refused', findings, files } : { kind: 'planned', files, segments };
}
