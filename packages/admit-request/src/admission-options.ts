/** Bounds of an admission queue. Absent fields take their defaults. */
export interface AdmissionOptions {
  /** Entries of one account; 64 by default. */
  readonly maxPerAccount?: number | undefined;
  /** An entry that nobody asked about for this long is dropped; 1,000 ms by default. */
  readonly expireAfterMs?: number | undefined;
  /** Wait after which an entry of a lower priority counts as aged; 10,000 ms by default. */
  readonly agedAfterMs?: number | undefined;
  /** One in this many admissions goes to an aged entry while there is one; 8 by default. */
  readonly agedEvery?: number | undefined;
  /** Drain rate to assume before any was measured, tokens per second; 10,000 by default. */
  readonly tokensPerSecond?: number | undefined;
}
