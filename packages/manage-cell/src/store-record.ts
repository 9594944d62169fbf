import type { ExportPlan, StoreClient, StoredPiece, StoreHost, StoreStat } from '@laburnumshift/types';

/** What the home knows of a store host. */
export interface StoreRecord {
  host: StoreHost;
  readonly client: StoreClient;
  readonly stopper: AbortController;
  stat: StoreStat | undefined;
  failures: number;
  /** Pieces exported since the last list began; a list does not show those that came while it was made. */
  exported: StoredPiece[];
  /** When the pieces were listed last; absent asks for a new list. */
  listedAtMs: number | undefined;
  /** Bytes that the store had in use before the last list. */
  listedBytes: number;
  backoffUntilMs: number;
  /** Bytes waiting on the link at `queuedAtMs`. */
  queuedBytes: number;
  queuedAtMs: number;
  /** Observed rate as a part of the stated one. */
  rateScale: number;
  scaledAtMs: number;
  /** Waiting exports, the most valuable first. */
  readonly exports: ExportPlan[];
  exporting: boolean;
}
