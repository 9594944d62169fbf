/** The other hosts. */
export interface HostTable {
  /** `IP:port` for datagrams of each other host that registered; some may be gone. */
  readonly listPeers: () => readonly string[];
  readonly close: () => void;
}
