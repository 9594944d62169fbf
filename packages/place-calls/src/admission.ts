/** Whether a call is sent now, waits for room, or when the caller should come back. */
export type Admission =
  | { readonly kind: 'admit' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number };
