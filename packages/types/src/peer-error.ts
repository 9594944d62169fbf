/** Failure of a peer call. `sent` says whether any byte may have reached the peer. */
export type PeerError =
  | { readonly kind: 'unreachable'; readonly detail: string; readonly sent: boolean }
  | { readonly kind: 'silent'; readonly detail: string; readonly sent: true }
  | { readonly kind: 'broken'; readonly detail: string; readonly sent: true }
  | { readonly kind: 'leaving'; readonly detail: string; readonly sent: boolean }
  | { readonly kind: 'version-mismatch'; readonly actual: string; readonly sent: true }
  | { readonly kind: 'bad-answer'; readonly detail: string; readonly sent: true }
  | { readonly kind: 'rejected'; readonly status: number; readonly detail: string; readonly sent: true }
  | { readonly kind: 'cancelled'; readonly detail: string; readonly sent: boolean };
