import type { BackendEntry } from '@laburnumshift/forward-types';

/** An engine whose weights are older than the newest named ones. */
export interface OutdatedEngine {
  readonly engine: BackendEntry;
  readonly model: string;
  readonly version: number;
}
