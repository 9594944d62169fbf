import type { ShareGrant, ShareRequest } from '@laburnumshift/types';

/** Divides the limits of accounts among the nodes; runs on the home of each account. */
export interface ShareAllocator {
  /** Grants a node a share by its demand. `nowMs` is in monotonic milliseconds. */
  readonly grantShare: (request: ShareRequest, nowMs: number) => ShareGrant;
}
