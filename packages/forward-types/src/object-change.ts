import type { StoredObject } from './stored-object.js';

/** A change of an object; the last state of a removed one. */
export interface ObjectChange {
  readonly isRemoved: boolean;
  readonly object: StoredObject;
}
