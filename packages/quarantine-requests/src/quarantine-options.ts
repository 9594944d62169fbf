import type { Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';

/** What a quarantine needs, with its times. */
export interface QuarantineOptions {
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  /** Time after its crash that a request stays a suspect, milliseconds. */
  readonly suspectMs?: number | undefined;
  /** Time that a convicted request is refused, milliseconds. */
  readonly convictionMs?: number | undefined;
}
