import type { EnginePlacement } from './engine-placement.js';

/** Reply of a cell's home node to a placement request. */
export type EnginePlacementReply =
  | { readonly kind: 'granted'; readonly grant: EnginePlacement }
  | {
      readonly kind: 'refused';
      readonly code: 'deadline_unreachable' | 'overloaded' | 'no_engine';
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'queued'; readonly position: number };
