import type { CacheEvent } from '@laburnumshift/forward-types';

/** Events of one read of an engine or store. */
export interface CacheChange {
  readonly engine: string;
  readonly bootId: string;
  /** Whether the engine holds only the pieces that the events add, as after a restart. */
  readonly isCleared: boolean;
  readonly events: readonly CacheEvent[];
}
