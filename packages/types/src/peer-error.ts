/**
 * Failure of a call to a backend server, a store host or the older system. `sent` is true when any byte of the call may have
 * reached the peer. `silent` means that a time limit passed without an answer, `broken` that the connection failed, and
 * `rejected` that the peer answered with an error status.
 */
export type PeerError =
  | { readonly kind: 'unreachable'; readonly detail: string; readonly sent: boolean }
  | { readonly kind: 'silent'; readonly detail: string; readonly sent: true }
  | { readonly kind: 'broken'; readonly detail: string; readonly sent: true }
  | { readonly kind: 'leaving'; readonly detail: string; readonly sent: boolean }
  | { readonly kind: 'version-mismatch'; readonly actual: string; readonly sent: true }
  | { readonly kind: 'bad-answer'; readonly detail: string; readonly sent: true }
  | { readonly kind: 'rejected'; readonly status: number; readonly detail: string; readonly sent: true }
  | { readonly kind: 'cancelled'; readonly detail: string; readonly sent: boolean };
