/** Whether a call is sent now, waits for capacity, or is refused with a time in milliseconds after which to retry. */
export type Admission =
  | { readonly kind: 'admit' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number };
