import type { BackendEntry } from '@laburnumshift/forward-types';

/** An engine whose weights of a model are older than the newest published ones. */
export interface OutdatedEngine {
  readonly engine: BackendEntry;
  readonly model: string;
  /** The newest published version of the model. */
  readonly version: number;
}
