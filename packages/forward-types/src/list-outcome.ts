import type { StoredObject } from './stored-object.js';

/** Answer to a list of all objects of a kind. */
export type ListOutcome =
  | { readonly kind: 'listed'; readonly objects: readonly StoredObject[]; readonly revision: number }
  | { readonly kind: 'unavailable'; readonly reason: string };
