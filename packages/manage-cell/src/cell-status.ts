/** State of a cell for operators. Rates are per second, times in milliseconds. */
export interface CellStatus {
  readonly pool: string;
  readonly cell: number;
  readonly engines: readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly leaving: boolean;
    readonly weightVersion: string;
    readonly running: number;
    readonly slots: number;
    readonly queueMs: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    /** Smoothed relative error of the estimated time to first token. */
    readonly estimateError: number;
  }[];
  readonly stores: readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly linkQueueMs: number;
    readonly bytesPerSecond: number;
    readonly exportsWaiting: number;
  }[];
  readonly queue: Readonly<Record<string, number>>;
  readonly directory: Readonly<Record<string, number>>;
}
