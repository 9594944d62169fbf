import type { ChangeAges } from './change-ages.js';
import type { ObjectChange } from './object-change.js';

/** Answer to a waiting read of changes. `compacted`: the history is gone, list again. */
export type WatchOutcome =
  | {
      readonly kind: 'changes';
      readonly changes: readonly ObjectChange[];
      readonly revision: number;
      /** Set when the answer comes from the copy of another host. */
      readonly ages?: ChangeAges;
    }
  | { readonly kind: 'compacted' }
  | { readonly kind: 'unavailable'; readonly reason: string };
