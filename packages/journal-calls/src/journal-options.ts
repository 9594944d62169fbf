import type { Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';
import type { JournalLimits } from './journal-limits.js';

/** Options of the journal of non-idempotent calls. */
export interface JournalOptions {
  readonly platform: PlatformClient;
  readonly mesh: Pick<NodeMesh, 'callNode' | 'handleMessage'>;
  readonly membership: Pick<Membership, 'getSelf' | 'listLiveMembers'>;
  /** Number of shards, stored by the first node. A stored number takes precedence. */
  readonly shards: number;
  /** How long after its issue time a key is accepted, milliseconds. */
  readonly retentionMs: number;
  /** Least time between two writes to a shard, milliseconds. */
  readonly minWriteIntervalMs: number;
  readonly limits?: Partial<JournalLimits> | undefined;
}
