import type { ConfigSegment } from '@laburnumshift/types';
import type { PublishRequest } from './publish-request.js';

/** A change of the head: files below the prefix become those of the target. */
export interface HeadMove {
  readonly action: 'publish' | 'rollback';
  readonly author: string;
  /** Segment hashes by file that should be in force below the prefix. */
  readonly target: Readonly<Record<string, string>>;
  readonly prefix: string;
  /** Contents by hash, as far as they are known; grows as segments are fetched. */
  readonly contents: Map<string, ConfigSegment>;
  readonly baseGeneration?: number | undefined;
  readonly findPosition?: PublishRequest['findPosition'];
}
