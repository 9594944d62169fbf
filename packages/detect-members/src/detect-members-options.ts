import type { HostEntry, Member, NodeMesh } from '@laburnumshift/types';
import type { MemberTiming } from './member-timing.js';

/** Options of the membership. */
export interface DetectMembersOptions {
  readonly self: Member;
  readonly mesh: Pick<NodeMesh, 'callNode' | 'handleMessage'>;
  /** The platform's host list; `undefined` while it cannot be read. */
  readonly listHosts: () => Promise<readonly HostEntry[] | undefined>;
  /** Mesh addresses to try before the host list is known. */
  readonly seeds: readonly string[];
  /** Seed of the random choices. */
  readonly randomSeed: number;
  readonly timing?: Partial<MemberTiming> | undefined;
}
