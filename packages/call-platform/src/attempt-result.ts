/** Result of one attempt. `sent` is true when the platform may have received the request. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Parsed JSON; `undefined` when the body is not valid JSON. */
      readonly body: unknown;
      /** Delay that the platform asks for before the next attempt, milliseconds; 0 when there is none. */
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'failed'; readonly sent: boolean; readonly detail: string };
