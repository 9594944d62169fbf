import type { Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';
import type { JournalLimits } from './journal-limits.js';

/** Options of the journal of non-idempotent calls. */
export interface JournalOptions {
  readonly platform: PlatformClient;
  readonly mesh: Pick<NodeMesh, 'callNode' | 'handleMessage'>;
  readonly membership: Pick<Membership, 'getSelf' | 'listLive'>;
  /** Number of shards that the first node stores; a stored number goes before it. */
  readonly shards: number;
  /** How long after its date a key is accepted, milliseconds. */
  readonly retentionMs: number;
  readonly minWriteIntervalMs: number;
  readonly limits?: Partial<JournalLimits> | undefined;
}
