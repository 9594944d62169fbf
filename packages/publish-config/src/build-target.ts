import { hashSegment } from '@laburnumshift/check-declarations';
import type { ConfigSegment } from '@laburnumshift/types';

/** Segments placed below a folder of the configuration, by file and by hash. */
interface ScopedSegments {
  /** Empty, or the folder with a slash at its end. */
  readonly prefix: string;
  readonly target: Readonly<Record<string, string>>;
  readonly contents: Map<string, ConfigSegment>;
}

/** Places segments below the folder `scope` of the configuration; without a scope they are the whole configuration. */
export function buildTarget(segments: readonly ConfigSegment[], scope = ''): ScopedSegments {
  const prefix = scope === '' ? '' : `${scope}/`;
  const placed = segments.map((segment) => ({ ...segment, file: prefix + segment.file }));
  const hashed = placed.map((segment) => ({ segment, hash: hashSegment(segment) }));
  return {
    prefix,
    target: Object.fromEntries(hashed.map(({ segment, hash }) => [segment.file, hash])),
    contents: new Map(hashed.map(({ segment, hash }) => [hash, segment])),
  };
}
