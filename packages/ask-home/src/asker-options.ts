import type { HostChannel } from '@laburnumshift/host-channel';
import type { HostPeer } from '@laburnumshift/share-load';

/** Options of `createHomeAsker`. */
export interface AskerOptions {
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleKind'>;
  /** Name of this host. */
  readonly host: string;
  /** Start time of this process, wall-clock milliseconds. */
  readonly bornMs: number;
  /** Lists the hosts that may be asked, in order of preference. */
  readonly listHomes: () => readonly HostPeer[];
  /** Called when a home did not answer within `HOME_TIMES.answerMs`. */
  readonly onSilent: (host: string) => void;
}
