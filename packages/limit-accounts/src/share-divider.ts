import type { ShareGrant, ShareRequest } from '@laburnumshift/types';

/** The home's division of account limits among nodes. */
export interface ShareDivider {
  readonly grantShare: (request: ShareRequest, nowMs: number) => ShareGrant;
}
