import type { Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';

/** Options of `watchConfig`. */
export interface WatchConfigOptions {
  readonly platform: PlatformClient;
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  /** Mesh addresses that are polled while no other member is known. */
  readonly seeds?: readonly string[] | undefined;
  /** Seed of the polling jitter; random by default. */
  readonly seed?: number | undefined;
}
