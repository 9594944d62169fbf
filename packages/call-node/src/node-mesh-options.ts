import type { MeshLimits } from './mesh-limits.js';

/** Options of the node mesh. */
export interface NodeMeshOptions {
  /** Listening address, `IP:port`; port 0 selects a free port. */
  readonly listen: string;
  /** Secret that all nodes share. */
  readonly secret: string;
  /** Paths of PEM files. The certificate is also the trust anchor for the certificates of the other nodes. */
  readonly tls?: { readonly certFile: string; readonly keyFile: string } | undefined;
  /** Overrides of the default limits. */
  readonly limits?: Partial<MeshLimits> | undefined;
}
