/** An entry of the platform's host list. */
export interface HostEntry {
  readonly host: string;
  readonly kind: 'node' | 'engine' | 'store' | 'service';
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
  /** `IP:port` on which an entry node accepts connections of other nodes; absent for other kinds. */
  readonly address?: string | undefined;
}
