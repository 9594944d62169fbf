/** Options of `createAdmissionQueue`. Absent fields take their defaults. */
export interface AdmissionQueueOptions {
  /** Maximum number of queued entries of one account, over all priorities; 64 by default. */
  readonly maxEntriesPerAccount?: number | undefined;
  /** An entry whose caller has not polled for this long is dropped; 1,000 ms by default. */
  readonly pollTimeoutMs?: number | undefined;
  /** Wait after which an entry of normal or bulk priority counts as aged; 10,000 ms by default. */
  readonly agingThresholdMs?: number | undefined;
  /** One in this many admissions goes to an aged entry while an aged entry can run; 8 by default. */
  readonly agedAdmissionInterval?: number | undefined;
  /** Drain rate in tokens per second that is assumed until a rate has been measured; 10,000 by default. */
  readonly tokensPerSecond?: number | undefined;
}
