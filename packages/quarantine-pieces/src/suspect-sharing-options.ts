import type { HostChannel } from '@laburnumshift/host-channel';
import type { LoadSharing, PeerHost } from '@laburnumshift/share-load';
import type { SuspectTable } from './suspect-table.js';

/** Dependencies of the exchange of suspects between hosts. */
export interface SuspectSharingOptions {
  readonly self: Pick<PeerHost, 'host' | 'failureDomain'>;
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleMessages'>;
  readonly table: SuspectTable;
  /** Returns the other registered hosts. */
  readonly listPeers: () => readonly PeerHost[];
  readonly getPlan: LoadSharing['getPlan'];
}
