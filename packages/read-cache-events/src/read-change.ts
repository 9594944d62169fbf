import type { CacheEvent } from '@laburnumshift/forward-types';

/** Changes of the pieces of one engine or store. */
export interface ReadChange {
  readonly engine: string;
  readonly bootId: string;
  /** The engine has nothing but what the events add. */
  readonly isCleared: boolean;
  readonly events: readonly CacheEvent[];
}
