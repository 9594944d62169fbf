/** A node as known to the membership protocol. */
export interface Member {
  /** Host name from the node's settings. */
  readonly host: string;
  /** Wall-clock time of the process start, milliseconds; distinguishes a process from its predecessor on the host. */
  readonly incarnation: number;
  readonly failureDomain: string;
  /** `IP:port` on which the node accepts connections of other nodes. */
  readonly address: string;
}
