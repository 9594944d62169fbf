import { checkSegments } from '@laburnumshift/check-declarations';
import type { ConfigHead, Finding, PlatformClient } from '@laburnumshift/types';
import { compareFiles } from './compare-files.js';
import { describeConflict } from './describe-conflict.js';
import { fetchSegments } from './fetch-segments.js';
import type { FileChange } from './file-change.js';
import type { HeadUpdate } from './head-update.js';
import type { PlatformFailure } from './platform-failure.js';

/** The file changes and segment hashes of the next head, or the reason why there is none. */
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
 * Applies the differences between an update's target and its base head to the current head. If other publishers changed
 * the head since, the changes are rebased when no file was changed by both. The merged configuration is checked as a
 * whole.
 */
export async function planHead(
  platform: PlatformClient,
  update: HeadUpdate,
  base: ConfigHead,
  current: ConfigHead,
): Promise<HeadPlan> {
  const { target, contents } = update;
  const files = compareFiles(base.segments, target, update.prefix).filter(
    ({ file }) => current.segments[file] !== target[file],
  );
  if (files.length === 0) return { kind: 'unchanged' };

  const changedByOthers = new Set(compareFiles(base.segments, current.segments).map(({ file }) => file));
  const conflicts = files.filter(({ file }) => changedByOthers.has(file));
  if (conflicts.length > 0) {
    const sources = [base.segments, current.segments, target];
    const hashes = conflicts.flatMap(({ file }) => sources.flatMap((source) => source[file] ?? []));
    const failure = await fetchSegments(platform, hashes, contents);
    if (failure !== undefined) return failure;
    const findings = conflicts.flatMap(({ file }) => {
      const [before, theirs, ours] = sources.map((source) => contents.get(source[file] ?? ''));
      return describeConflict(file, { base: before, ours, theirs }, current, update.findPosition);
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
  const findings = checkSegments(merged, update.findPosition);
  return findings.length > 0 ? { kind: 'refused', findings, files } : { kind: 'planned', files, segments };
}
