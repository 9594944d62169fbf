/** A forwarding host, as registered in the platform's store. */
export interface HostPeer {
  readonly host: string;
  readonly failureDomain: string;
  /** `IP:port`, both for datagrams and for reads of relayed events. */
  readonly address: string;
  /** Size of the host, cores; lower when its link is slow. Larger hosts relay for the others. */
  readonly size: number;
}
