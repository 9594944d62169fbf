import { readMonotonicMs } from '@laburnumshift/clock';
import type { Membership, RunClaim, RunClaimReply } from '@laburnumshift/types';

/** An entry outlives most runs and the time that their output is kept; later resends run again. */
const ENTRY_MS = 300_000;
/** About 170 claims a second for the whole time; some 10 MB. */
const MAX_ENTRIES = 50_000;

interface RunEntry {
  readonly host: string;
  readonly address: string;
  readonly bodyHash: string;
  readonly atMs: number;
}

/** Creates the index that the home of request ids keeps: which node owns which run. Keys are per account. */
export function createRunHome(membership: Membership): {
  readonly claimRun: (claim: RunClaim) => RunClaimReply;
} {
  const entries = new Map<string, RunEntry>();

  const evictEntries = (): void => {
    const oldestMs = readMonotonicMs() - ENTRY_MS;
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
      const isLive = entry && membership.listLive().some((member) => member.host === entry.host);
      if (isLive === true && entry.address !== replaces) {
        if (entry.bodyHash !== bodyHash) return { kind: 'body-differs' };
        if (entry.address !== address) return { kind: 'exists', address: entry.address };
      }
      entries.delete(key);
      entries.set(key, { host, address, bodyHash, atMs: readMonotonicMs() });
      return { kind: 'claimed' };
    },
  };
}
