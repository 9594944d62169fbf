/** Whether a call is sent now, or when the caller should come back. */
export type Admission =
  { readonly isAdmitted: true } | { readonly isAdmitted: false; readonly retryAfterMs: number };
