import type { CallResponse } from './call-response.js';
import type { ServingSystem } from './serving-system.js';

/** Decision of the journal about a call. Only `run` permits a dispatch, and only of the named attempt. */
export type JournalDecision =
  | { readonly kind: 'run'; readonly attemptId: string; readonly system: ServingSystem }
  | { readonly kind: 'finished'; readonly answer: CallResponse; readonly system: ServingSystem }
  | { readonly kind: 'in-progress'; readonly retryAfterMs: number }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'body-differs' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'absent' }
  | {
      readonly kind: 'unavailable';
      readonly detail: string;
      /**
       * False when the home node of the key answered and neither it nor this node knows of another submission under the
       * key. True when one is known or cannot be excluded.
       */
      readonly seen: boolean;
    };
