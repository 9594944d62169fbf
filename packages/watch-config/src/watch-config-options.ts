import type { Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';

/** What the configuration watch of a node works with. */
export interface WatchConfigOptions {
  readonly platform: PlatformClient;
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  /** Mesh addresses to ask as long as no other member is known. */
  readonly seeds?: readonly string[] | undefined;
  /** Seed of the polling jitter; random by default. */
  readonly seed?: number | undefined;
}
