import type { HostChannel } from '@laburnumshift/host-channel';
import type { PeerHost } from '@laburnumshift/share-load';

/** Options of `createHomeClient`. */
export interface HomeClientOptions {
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleMessages'>;
  /** Name of this host. */
  readonly host: string;
  /** Start time of this process, wall-clock milliseconds. */
  readonly bornMs: number;
  /** Lists the hosts that may be asked, in order of preference. */
  readonly listHomes: () => readonly PeerHost[];
  /** Called when a home host did not answer within `PLACEMENT_TIMING.answerTimeoutMs`. */
  readonly onTimeout: (host: string) => void;
}
