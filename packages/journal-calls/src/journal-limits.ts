/** Size and time limits of the journal. */
export interface JournalLimits {
  /** Size above which a tail object is sealed, characters of JSON. */
  readonly sealThresholdChars: number;
  /** Size of the records in one write, characters of JSON. Keeps an object below the platform's limit of 1 MB. */
  readonly maxBatchChars: number;
  /** Requests that may wait for a write to one shard; more are refused. */
  readonly maxQueuedRequests: number;
  /** Size of a stored answer, body and headers, bytes. A larger answer is stored with its status only. */
  readonly maxAnswerBytes: number;
  /** Entries of one shard in memory; evicted ones are read from the platform on demand. */
  readonly maxEntries: number;
  /** Estimated memory of one shard's entries, bytes. */
  readonly maxViewBytes: number;
  /** Objects that may be read to find one call whose entry is not in memory. */
  readonly maxScannedObjects: number;
  /** Largest difference between the clocks of callers and nodes, milliseconds. */
  readonly maxClockSkewMs: number;
  /** Age at which a started attempt without a result is recorded as unknown, milliseconds. */
  readonly maxAttemptMs: number;
  /** How long a request waits for the confirmation of its record, milliseconds. */
  readonly confirmTimeoutMs: number;
  /** How long the record of an attempt's end is retried while the platform is down, milliseconds. */
  readonly recordRetryMs: number;
  /** How long to wait for a home node to answer, beyond the request's own waiting time, milliseconds. */
  readonly homeTimeoutMs: number;
  /** Time without a successful read or write after which a view is reloaded, milliseconds. */
  readonly maxViewAgeMs: number;
  /** Interval between deletions of expired objects, milliseconds. */
  readonly cleanupIntervalMs: number;
}
