import type { ConfigSegment } from '@laburnumshift/types';

/** A request to publish segments. */
export interface PublishRequest {
  readonly segments: readonly ConfigSegment[];
  readonly author: string;
  /** Folder of the configuration that the segments replace, e.g. `booking`; the whole configuration by default. */
  readonly scope?: string | undefined;
  /** Generation that the files are based on, the current one by default. Later changes count as another operator's. */
  readonly baseGeneration?: number | undefined;
  /** Finds the line and column of a path in a file, for findings. */
  readonly findPosition?:
    | ((file: string, path: readonly PropertyKey[]) => { readonly line: number; readonly column: number })
    | undefined;
}
