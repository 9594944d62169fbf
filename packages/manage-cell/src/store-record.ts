import type { ExportPlan, StoreClient, StoredPiece, StoreHost, StoreStat } from '@laburnumshift/types';

/** State of a store host as the home knows it. Times are monotonic, milliseconds. */
export interface StoreRecord {
  host: StoreHost;
  readonly client: StoreClient;
  /** Aborted when the store leaves the cell or the home closes. */
  readonly abortController: AbortController;
  /** Last statistics; `undefined` until the first read succeeds. */
  stat: StoreStat | undefined;
  /** Consecutive failed reads of the statistics. */
  failures: number;
  /** Pieces exported since the last list began. A list may lack pieces that arrived while it was made. */
  exportedSinceList: StoredPiece[];
  /** Time of the last list of the store's pieces; `undefined` requests a new list. */
  listedAtMs: number | undefined;
  /** Bytes in use in memory and on disk before the last list. */
  usedBytesAtList: number;
  backoffUntilMs: number;
  /** Bytes queued on the link at `queuedAtMs`. */
  queuedBytes: number;
  queuedAtMs: number;
  /** Observed rate divided by the stated rate at `rateScaleAtMs`, at most 1. */
  rateScale: number;
  rateScaleAtMs: number;
  /** Exports that wait, in descending order of value. */
  readonly pendingExports: ExportPlan[];
  /** True while a task runs the pending exports. */
  isExporting: boolean;
}
