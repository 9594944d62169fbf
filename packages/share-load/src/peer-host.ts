/** Forwarding host, as registered in the store of the platform. */
export interface PeerHost {
  readonly host: string;
  readonly failureDomain: string;
  /** `IP:port`, both for datagrams and for reads of relayed events. */
  readonly address: string;
  /** Size of the host in cores, reduced when its link is slow. The largest hosts become relays. */
  readonly size: number;
}
