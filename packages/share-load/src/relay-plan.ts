import type { HostPeer } from './host-peer.js';

/** Hosts to which one host sends its reports, and the relay that it follows. */
export interface RelayPlan {
  /** True in large fleets, where relays forward the reports of their failure domain. */
  readonly isRelayed: boolean;
  /** Hosts that receive the load reports of this host. */
  readonly reportTo: readonly HostPeer[];
  /** Relays of the other failure domains. */
  readonly otherRelays: readonly HostPeer[];
  /** First relay of the failure domain, which this host follows; `undefined` for that relay itself and in small fleets. */
  readonly upstream: HostPeer | undefined;
  /**
   * Host whose copies of platform objects this host follows: the first relay of its failure domain, or, for such a relay, the first
   * relay of the fleet. `undefined` for the first relay of the fleet, which watches the store, and in small fleets.
   */
  readonly objectsUpstream: HostPeer | undefined;
  /** Whether this host is one of the relays of its failure domain. */
  readonly isRelay: boolean;
}
