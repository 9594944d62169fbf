import type { StoredObject } from './stored-object.js';

/** A change of a stored object. */
export interface ObjectChange {
  readonly isRemoved: boolean;
  /** State after the change; of a removed object, its last state. */
  readonly object: StoredObject;
}
