import type { HostEntry, Member, NodeMesh } from '@laburnumshift/types';
import type { FailureDetectorTiming } from './failure-detector-timing.js';

/** Options of the failure detector. */
export interface DetectMembersOptions {
  /** This node. */
  readonly self: Member;
  readonly mesh: Pick<NodeMesh, 'callNode' | 'handleMessage'>;
  /** Reads the platform's host list; resolves to `undefined` when it cannot be read. */
  readonly listHosts: () => Promise<readonly HostEntry[] | undefined>;
  /** Mesh addresses to probe in addition to those of the host list, which is unknown at the start. */
  readonly seeds: readonly string[];
  /** Seed of the random number generator. */
  readonly randomSeed: number;
  readonly timing?: Partial<FailureDetectorTiming> | undefined;
}
