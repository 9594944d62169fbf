import type { CallAnswer } from './call-answer.js';
import type { System } from './system.js';

/** What the journal says about a call. Only `run` permits a dispatch, and only of that attempt. */
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
       * False when the home of the key answered, and neither it nor this node remembers another submission under the key.
       * True when one is remembered or cannot be excluded.
       */
      readonly seen: boolean;
    };
