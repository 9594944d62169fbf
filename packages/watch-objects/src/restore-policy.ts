import type { StoredObject } from '@laburnumshift/forward-types';
import type { RestoredState } from './restored-state.js';

/** What a copy keeps when the store was restored and has an older state of the objects. */
export interface RestorePolicy {
  /**
   * Returns whether the restored store has an older state of an object than the one known from before the restore; the known one is then
   * kept. Nothing is kept by default.
   */
  readonly isOlder?: (found: StoredObject, known: StoredObject, state: RestoredState) => boolean;
  /**
   * Time after a restore in which answers do not confirm the copy unless it has changed since, milliseconds: until objects that the restored
   * store lacks are written again. 0 by default.
   */
  readonly unconfirmedMs?: number;
  /** Whether objects that the restored store lacks are kept; false by default. */
  readonly keepsMissing?: boolean;
}
