import type { HostChannel } from '@laburnumshift/host-channel';
import type { LoadSharing, PeerHost } from '@laburnumshift/share-load';

/** Options of `createServerLimits`. */
export interface ServerLimitsOptions {
  readonly self: PeerHost;
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleMessages'>;
  /** Lists the other registered hosts, some of which may be gone. */
  readonly listPeers: () => readonly PeerHost[];
  readonly getPlan: LoadSharing['getPlan'];
  /** Returns a number from 0 to 1. */
  readonly pickRandom: () => number;
}
