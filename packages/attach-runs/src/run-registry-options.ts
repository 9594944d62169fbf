import type { Membership, NodeMesh } from '@laburnumshift/types';

/** Dependencies and limits of a run registry. */
export interface RunRegistryOptions {
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  /** How long a finished run is kept, milliseconds; 60 s by default. */
  readonly finishedRunLifetimeMs?: number | undefined;
  /** Bound for the output of all finished runs, bytes; 32 MiB by default. */
  readonly maxFinishedBytes?: number | undefined;
  /** Bound for the buffered output of one run, bytes; the oldest tokens are dropped above it. 8 MiB by default. */
  readonly maxRunBytes?: number | undefined;
  /** How long a run with a request id from its caller goes on without a reader, milliseconds; 10 s by default. */
  readonly orphanTimeoutMs?: number | undefined;
}
