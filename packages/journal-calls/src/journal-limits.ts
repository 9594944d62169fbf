/** Sizes and times of the journal. */
export interface JournalLimits {
  /** A tail over this size is sealed, bytes. */
  readonly sealBytes: number;
  /** Records in one write, bytes; keeps an object below the platform's limit of 1 MB. */
  readonly maxBatchBytes: number;
  /** Requests that wait for a write of one shard. */
  readonly maxQueue: number;
  /** Stored answer, body and headers, bytes. */
  readonly maxAnswerBytes: number;
  /** Entries of one shard in memory; older ones are read from the platform when they are asked for. */
  readonly maxEntries: number;
  /** Memory of one shard's entries, bytes. */
  readonly maxViewBytes: number;
  /** Objects read for one call whose entry is not in memory. */
  readonly maxScan: number;
  /** Largest difference between the clocks of callers and nodes, milliseconds. */
  readonly skewMs: number;
  /** A started attempt without a result for this long counts as unknown, milliseconds. */
  readonly maxAttemptMs: number;
  /** Time that a request waits for its record to be confirmed, milliseconds. */
  readonly confirmMs: number;
  /** Time that an answer or a withdrawal is tried again while the platform is down, milliseconds. */
  readonly keepTryingMs: number;
  /** Time for a home to answer, beyond the time that the request may wait, milliseconds. */
  readonly homeMs: number;
  /** A view without a successful read or write for this long is loaded again, milliseconds. */
  readonly staleMs: number;
  /** Between two rounds of deletion, milliseconds. */
  readonly cleanMs: number;
}
