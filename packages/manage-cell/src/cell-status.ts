/** Status of a cell for operators. Rates are per second, times in milliseconds. */
export interface CellStatus {
  readonly pool: string;
  readonly cell: number;
  readonly engines: readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly leaving: boolean;
    readonly weightVersion: string;
    /** Requests in flight, including those that others placed. */
    readonly running: number;
    /** Requests that the engine runs at once, without the older system's share. */
    readonly slots: number;
    /** Estimated wait of a new request of the lowest priority. */
    readonly queueMs: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    /** Exponentially smoothed relative error of the estimated time to first token; 0.1 is 10%. */
    readonly estimateError: number;
  }[];
  readonly stores: readonly {
    readonly name: string;
    readonly usable: boolean;
    /** Estimated time until the link has sent the queued bytes. */
    readonly linkQueueMs: number;
    readonly bytesPerSecond: number;
    readonly exportsWaiting: number;
  }[];
  /** Counters of the admission queue by name. */
  readonly queue: Readonly<Record<string, number>>;
  /** Counters of the cache directory by name. */
  readonly directory: Readonly<Record<string, number>>;
}
