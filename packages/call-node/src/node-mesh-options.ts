import type { MeshLimits } from './mesh-limits.js';

/** Options of the node mesh. */
export interface NodeMeshOptions {
  /** Listening address, `IP:port`; port 0 takes a free one. */
  readonly listen: string;
  /** Shared secret of all nodes. */
  readonly secret: string;
  /** PEM files. The certificate file is also the trust anchor for the other nodes' certificates. */
  readonly tls?: { readonly certFile: string; readonly keyFile: string } | undefined;
  readonly limits?: Partial<MeshLimits> | undefined;
}
