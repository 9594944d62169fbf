import type { CopyState } from '@laburnumshift/forward-types';
import type { HostChannel } from '@laburnumshift/host-channel';
import type { ServerTracker, ServerNotices } from '@laburnumshift/track-engines';
import type { PeerHost } from './peer-host.js';

/** Options of `createLoadSharing`. */
export interface LoadSharingOptions {
  readonly self: PeerHost;
  /** Start time of this process, wall-clock milliseconds. */
  readonly bornMs: number;
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleMessages'>;
  readonly serverTracker: Pick<
    ServerTracker,
    | 'listLoads'
    | 'listWork'
    | 'listConditions'
    | 'observeCondition'
    | 'watchLoads'
    | 'drainObservations'
    | 'addObservations'
  >;
  readonly notices: Pick<ServerNotices, 'listNotices' | 'addNotice'>;
  /** Lists the other registered hosts, some of which may be gone. Returns the same array while nothing has changed. */
  readonly listPeers: () => readonly PeerHost[];
  /** Lists how current the copies of platform objects at this host are, for hosts that follow it; none by default. */
  readonly listObjectStates?: () => readonly CopyState[];
  /** Called with the states of a relay and an upper bound of the time since they were read, milliseconds. */
  readonly onObjectStates?: (host: string, states: readonly CopyState[], elapsedMs: number) => void;
  /** Returns the number up to which all placement requests of this host were answered or abandoned; 0 by default. */
  readonly getSettledNumber?: () => number;
  /** Called when a host reports its placement requests up to a number as settled. Its loads include the calls placed by their answers. */
  readonly onPlacementRequestsSettled?: (host: string, bornMs: number, settled: number) => void;
}
