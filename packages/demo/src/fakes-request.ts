import type { HostEntry } from '@laburnumshift/types';

/** Requests to the process that runs the fakes. */
export type FakesRequest =
  | { readonly kind: 'start'; readonly directory: string }
  | { readonly kind: 'set-nodes'; readonly nodes: readonly HostEntry[] }
  | { readonly kind: 'get-report' };
