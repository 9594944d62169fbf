import type { ChangeAges } from './change-ages.js';
import type { ObjectChange } from './object-change.js';

/** Changes of one kind of objects after a revision, as another host relays them. The ages are those at the time of its answer. */
export interface RelayedChanges extends ChangeAges {
  /** The requested revision. */
  readonly after: number;
  readonly changes: readonly ObjectChange[];
  /** Revision of the relaying host's copy. */
  readonly revision: number;
}
