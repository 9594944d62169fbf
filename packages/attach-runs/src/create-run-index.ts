import { readMonotonicMs } from '@laburnumshift/clock';
import type { Membership, RunClaim, RunClaimReply } from '@laburnumshift/types';

/** Longer than most runs and than the time that finished output is kept. A resend after it runs again. */
const ENTRY_LIFETIME_MS = 300_000;
/** Holds about 170 claims a second over the lifetime of an entry, in about 10 MB. */
const MAX_ENTRIES = 50_000;

interface RunEntry {
  readonly host: string;
  readonly address: string;
  readonly bodyHash: string;
  readonly atMs: number;
}

/**
 * Creates the index of run owners that the home node of request ids keeps. A claim succeeds when no other live node owns
 * the run of the account and request id, or when it replaces the owner that the index names. The same id with another
 * body is refused.
 */
export function createRunIndex(membership: Membership): {
  readonly claimRun: (claim: RunClaim) => RunClaimReply;
} {
  const entries = new Map<string, RunEntry>();

  const evictEntries = (): void => {
    const oldestMs = readMonotonicMs() - ENTRY_LIFETIME_MS;
    for (const [key, entry] of entries) {
      if (entry.atMs > oldestMs && entries.size <= MAX_ENTRIES) return;
      entries.delete(key);
    }
  };

  return {
    claimRun: ({ account, requestId, host, address, bodyHash, replaces }) => {
      const key = JSON.stringify([account, requestId]);
      evictEntries();
      const entry = entries.get(key);
      const isOwnerLive = entry && membership.listLiveMembers().some((member) => member.host === entry.host);
      if (isOwnerLive === true && entry.address !== replaces) {
        if (entry.bodyHash !== bodyHash) return { kind: 'body-differs' };
        if (entry.address !== address) return { kind: 'exists', address: entry.address };
      }
      entries.delete(key);
      entries.set(key, { host, address, bodyHash, atMs: readMonotonicMs() });
      return { kind: 'claimed' };
    },
  };
}
