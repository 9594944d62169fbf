import type { MemberRecord } from './member-record.js';

/** Sends the probe messages of a node. */
export interface Prober {
  /** Probes an address and merges the records in the reply; resolves to the host that answered, or to `undefined`. */
  readonly sendProbe: (
    address: string,
    host: string | undefined,
    timeoutMs: number,
  ) => Promise<string | undefined>;
  /** Probes a member directly, then through other members, and marks it as suspect when none of them reaches it. */
  readonly probeMember: (target: MemberRecord) => Promise<void>;
}
