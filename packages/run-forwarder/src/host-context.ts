import type { HostChannel } from '@laburnumshift/host-channel';
import type { PieceTransferPlanner } from '@laburnumshift/keep-pieces';
import type { ColdLimits, ServerLimits } from '@laburnumshift/limit-server-rates';
import type { EventsRelay } from '@laburnumshift/relay-events';
import type { PeerHost, LoadSharing } from '@laburnumshift/share-load';
import type { ServerTracker, ServerNotices } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';

/** The state of the fleet as known to this host, and the components that keep it up to date. */
export interface HostContext {
  readonly self: PeerHost;
  /** Start of this process, in milliseconds of wall-clock time. */
  readonly bornMs: number;
  readonly channel: HostChannel;
  readonly serverTracker: ServerTracker;
  readonly notices: ServerNotices;
  readonly sharing: LoadSharing;
  readonly fleet: FleetView;
  readonly events: EventsRelay;
  readonly limits: ServerLimits;
  readonly coldLimits: ColdLimits;
  readonly transferPlanner: PieceTransferPlanner;
  /** Returns the other registered hosts; some of them may have stopped. */
  readonly listPeers: () => readonly PeerHost[];
  /** True when the other hosts have been listed. */
  readonly isJoined: () => boolean;
  readonly close: () => void;
}
