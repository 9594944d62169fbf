import { hashSegment } from '@laburnumshift/check-declarations';
import type { ConfigSegment } from '@laburnumshift/types';

/** The segments of one folder of the configuration. */
interface ScopedSegments {
  /** Empty, or the folder with a slash at its end. */
  readonly prefix: string;
  /** Segment hashes by file name, including the prefix. */
  readonly target: Readonly<Record<string, string>>;
  /** Segments by hash. */
  readonly contents: Map<string, ConfigSegment>;
}

/**
 * Prefixes the file names of segments with the folder `scope`, and hashes the segments. An empty scope means the whole
 * configuration.
 */
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
