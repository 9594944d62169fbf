import type { ConfigHead } from './config-head.js';
import type { ConfigSegment } from './config-segment.js';

/**
 * Update of a node from an older configuration generation to the one of `head`. With `base` it contains only the files that
 * changed, because a complete head can list thousands of files.
 */
export interface ConfigUpdate {
  /** Lists all files, or only those that changed after `base` when `base` is present. */
  readonly head: ConfigHead;
  /** Oldest generation that the update applies to; it also applies to each one between `base` and `head`. */
  readonly base?: number | undefined;
  /** Files that were removed after `base`. */
  readonly removed?: readonly string[] | undefined;
  /** Segments by hash. */
  readonly segments: Readonly<Record<string, ConfigSegment>>;
}
