import type { ConfigSegment } from '@laburnumshift/types';

/** What to publish. */
export interface PublishRequest {
  readonly segments: readonly ConfigSegment[];
  readonly author: string;
  /** Folder of the configuration that the segments replace, e.g. `booking`; absent means the whole configuration. */
  readonly scope?: string | undefined;
  /** Generation on which the files are based; changes made since count as another operator's. Absent means the newest. */
  readonly baseGeneration?: number | undefined;
  /** Finds the line and column of a path in a file of the segments, for findings. */
  readonly findPosition?:
    | ((file: string, path: readonly PropertyKey[]) => { readonly line: number; readonly column: number })
    | undefined;
}
