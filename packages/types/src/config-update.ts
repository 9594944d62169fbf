import type { ConfigHead } from './config-head.js';
import type { ConfigSegment } from './config-segment.js';

/** What a node with an older generation lacks. A whole head of thousands of files is not sent for each change. */
export interface ConfigUpdate {
  /** Lists only the files that changed above `base` when that is there. */
  readonly head: ConfigHead;
  /** Generation on which the update builds; it also fits any generation between. */
  readonly base?: number | undefined;
  /** Files that were removed above `base`. */
  readonly removed?: readonly string[] | undefined;
  /** Contents by hash. */
  readonly segments: Readonly<Record<string, ConfigSegment>>;
}
