/** A host in the platform's list. */
export interface HostEntry {
  readonly host: string;
  readonly kind: 'node' | 'engine' | 'store' | 'service';
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
  /** `IP:port` of the node mesh, for entry nodes. */
  readonly address?: string | undefined;
}
