/** What became of one attempt. `sent` says whether the platform may have received the request. */
export type HttpAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Parsed body; `undefined` when it is not JSON. */
      readonly body: unknown;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'failed'; readonly sent: boolean; readonly detail: string };
