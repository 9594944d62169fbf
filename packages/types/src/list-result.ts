import type { PlatformObject } from './platform-object.js';

/** Result of listing objects. */
export type ListResult<T = unknown> =
  | { readonly kind: 'listed'; readonly items: readonly PlatformObject<T>[]; readonly revision: number }
  | { readonly kind: 'unavailable'; readonly detail: string };
