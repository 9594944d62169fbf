import type { ForwardBounds } from '@laburnumshift/forward-types';
import type { PeerHost } from '@laburnumshift/share-load';

/** Options of `createColdLimits`. */
export interface ColdLimitsOptions {
  readonly self: PeerHost;
  /** Lists the other registered hosts, some of which may be gone. */
  readonly listPeers: () => readonly PeerHost[];
  /** True when the other hosts have been listed; before, this host has no part of any rate. */
  readonly isJoined: () => boolean;
  readonly bounds: Pick<ForwardBounds, 'coldOver' | 'coldSlack'>;
}
