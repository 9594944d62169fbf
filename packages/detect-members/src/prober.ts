import type { MemberRecord } from './member-record.js';

/** Sends the membership messages of a node. */
export interface Prober {
  /** Probes an address and merges the answer; resolves to the host that answered. */
  readonly sendProbe: (
    address: string,
    host: string | undefined,
    timeoutMs: number,
  ) => Promise<string | undefined>;
  /** Probes a member directly, then through others, and starts a suspicion when nobody reaches it. */
  readonly probeMember: (target: MemberRecord) => Promise<void>;
}
