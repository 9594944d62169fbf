import type { CallAnswer } from './call-answer.js';
import type { System } from './system.js';

/** Decision of the journal about a call. Only `run` permits a dispatch, and only of the named attempt. */
export type JournalDecision =
  | { readonly kind: 'run'; readonly attemptId: string; readonly system: System }
  | { readonly kind: 'finished'; readonly answer: CallAnswer; readonly system: System }
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
