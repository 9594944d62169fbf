import type { ChangeAges } from './change-ages.js';
import type { StoredObject } from './stored-object.js';
import type { UnavailableOutcome } from './unavailable-outcome.js';

/** Result of listing all objects of a kind. */
export type ListOutcome =
  | {
      readonly kind: 'listed';
      readonly objects: readonly StoredObject[];
      /** Revision of the store from which a watch misses no change. */
      readonly revision: number;
      /** Set when the list was read from another host's copy. */
      readonly ages?: ChangeAges;
    }
  | UnavailableOutcome;
