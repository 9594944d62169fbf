import type { Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';

/** Options of `createQuarantine`. */
export interface QuarantineOptions {
  readonly mesh: NodeMesh;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  /** Time after the crash for which a request stays a suspect, in milliseconds; 600,000 by default. */
  readonly suspectTtlMs?: number | undefined;
  /** Time for which a convicted request is refused, in milliseconds; 600,000 by default. */
  readonly convictionTtlMs?: number | undefined;
}
