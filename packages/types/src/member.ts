/** A node of the system as seen by membership. */
export interface Member {
  /** Host name from the node's settings. */
  readonly host: string;
  /** Wall-clock milliseconds at process start; tells a replaced process from its predecessor. */
  readonly incarnation: number;
  readonly failureDomain: string;
  /** `IP:port` of the node mesh. */
  readonly address: string;
}
