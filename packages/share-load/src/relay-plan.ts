import type { PeerHost } from './peer-host.js';

/** Hosts to which one host sends its reports, and the relay that it follows. */
export interface RelayPlan {
  /** True in large fleets, where relays forward the reports of their failure domain. */
  readonly isRelayed: boolean;
  /** Hosts that receive the load reports of this host. */
  readonly reportTo: readonly PeerHost[];
  /** Relays of the other failure domains. */
  readonly otherRelays: readonly PeerHost[];
  /** First relay of the failure domain, which this host follows; `undefined` for that relay itself and in small fleets. */
  readonly upstream: PeerHost | undefined;
  /**
   * Host whose copies of platform objects this host follows: the first relay of its failure domain, or, for such a relay, the first
   * relay of the fleet. `undefined` for the first relay of the fleet, which watches the store, and in small fleets.
   */
  readonly objectsUpstream: PeerHost | undefined;
  /** Whether this host is one of the relays of its failure domain. */
  readonly isRelay: boolean;
}
