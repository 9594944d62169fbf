import type { CacheDirectory } from './cache-directory.js';
import type { ExportPlan } from './export-plan.js';
import type { RunReport } from './run-report.js';
import type { StoreChange } from './store-change.js';
import type { StoreView } from './store-view.js';

/** Decides which pieces are kept, where, and what is prefetched. */
export interface RetentionPlanner {
  /** Records that a prompt ran, so that gaps and chances of return are learned for each service. */
  readonly recordUse: (report: RunReport, atMs: number) => void;
  readonly planExports: (
    report: RunReport,
    stores: readonly StoreView[],
    directory: CacheDirectory,
    atMs: number,
  ) => readonly ExportPlan[];
  /** Prefetches on idle links, demotions and deletions under pressure or quota. */
  readonly planChanges: (
    stores: readonly StoreView[],
    directory: CacheDirectory,
    atMs: number,
  ) => readonly StoreChange[];
}
