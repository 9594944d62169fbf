import type { Membership, NodeMesh } from '@laburnumshift/types';

/** What a run registry needs, with its bounds. */
export interface RunRegistryOptions {
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  /** Time that a finished run is kept, milliseconds. */
  readonly keepMs?: number | undefined;
  /** Bytes of all finished runs. */
  readonly keepBytes?: number | undefined;
  /** Bytes of one run; older output is dropped above it. */
  readonly maxRunBytes?: number | undefined;
  /** Time that a named run goes on without a reader, milliseconds. */
  readonly orphanMs?: number | undefined;
}
