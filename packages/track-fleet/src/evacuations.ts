import type { BackendEntry, ObjectChange } from '@laburnumshift/forward-types';

/** The evacuated failure domains as a host knows them. */
export interface Evacuations {
  /** Applies changes of the objects; the name of each is its failure domain. */
  readonly applyChanges: (changes: readonly ObjectChange[]) => void;
  /** Adds to the entry of a server whether its failure domain is evacuated, and when that ended. */
  readonly markEntry: (entry: BackendEntry) => BackendEntry;
  /** Logs evacuations that match no server, and when no failure domain is left. */
  readonly reportDomains: () => void;
  readonly close: () => void;
}
