import type { ChangeAges } from './change-ages.js';
import type { ObjectChange } from './object-change.js';
import type { UnavailableOutcome } from './unavailable-outcome.js';

/** Result of a long-poll read of changes. `compacted`: the store no longer has the changes, so the objects must be listed again. */
export type WatchOutcome =
  | {
      readonly kind: 'changes';
      readonly changes: readonly ObjectChange[];
      /** Revision of the store up to which the changes are complete. */
      readonly revision: number;
      /** Set when the changes were read from another host's copy. */
      readonly ages?: ChangeAges;
    }
  | {
      readonly kind: 'compacted';
      /** The store was not called, or did not answer, as the revision is from before its last restore. */
      readonly isLocal?: true;
    }
  | UnavailableOutcome;
