import type { HostChannel } from '@laburnumshift/host-channel';
import type { StoreEra } from '@laburnumshift/order-revisions';
import type { PeerHost, RelayPlan } from '@laburnumshift/share-load';

/** Options of `createConfigFloor`. */
export interface ConfigFloorOptions {
  readonly self: PeerHost;
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleMessages'>;
  /** Lists the other registered hosts. */
  readonly listPeers: () => readonly PeerHost[];
  readonly getPlan: () => RelayPlan;
  readonly era: StoreEra;
  /** True when the whole fleet starts for the first time, so that no host knows an earlier configuration. */
  readonly isFirstStart: boolean;
  /** Returns the version of this host's configuration; `undefined` before the first one. */
  readonly getConfigVersion: () => number | undefined;
  /** Returns an upper bound of the age of this host's configuration as the store confirmed it to this host, milliseconds. */
  readonly getConfigAgeMs: () => number;
}
