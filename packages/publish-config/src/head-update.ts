import type { ConfigSegment } from '@laburnumshift/types';
import type { PublishRequest } from './publish-request.js';

/** An update of the head that replaces the files below a prefix. */
export interface HeadUpdate {
  readonly action: 'publish' | 'rollback';
  readonly author: string;
  /** New segment hashes by file for all files below the prefix. */
  readonly target: Readonly<Record<string, string>>;
  /** Empty, or a folder with a slash at its end. */
  readonly prefix: string;
  /** Known segments by hash. Fetched segments are added. */
  readonly contents: Map<string, ConfigSegment>;
  /** Generation that `target` is based on; the current one by default. */
  readonly baseGeneration?: number | undefined;
  readonly findPosition?: PublishRequest['findPosition'];
}
