import type { ChangeAges } from './change-ages.js';
import type { ObjectChange } from './object-change.js';

/** What a host tells of a kind of objects after a revision; the ages are those at its answer. */
export interface RelayedChanges extends ChangeAges {
  /** The revision that was asked for. */
  readonly after: number;
  readonly changes: readonly ObjectChange[];
  /** Revision of the host's copy. */
  readonly revision: number;
}
