import type { Grant } from './grant.js';

/** Reply of a cell's home node to a placement request. */
export type PlaceReply =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | {
      readonly kind: 'refused';
      readonly code: 'deadline_unreachable' | 'overloaded' | 'no_engine';
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'queued'; readonly position: number };
