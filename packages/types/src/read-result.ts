import type { PlatformObject } from './platform-object.js';

/** Result of reading an object. */
export type ReadResult<T = unknown> =
  | { readonly kind: 'found'; readonly object: PlatformObject<T> }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly detail: string };
