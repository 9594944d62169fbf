import type { CacheDirectory } from './cache-directory.js';
import type { ExportPlan } from './export-plan.js';
import type { RunReport } from './run-report.js';
import type { StoreChange } from './store-change.js';
import type { StoreState } from './store-state.js';

/** Plans which pieces are kept on which store and tier, and which are prefetched. */
export interface RetentionPlanner {
  /** Records that a prompt ran. The planner estimates from this, by service, how likely and how soon a prompt is reused. */
  readonly recordUse: (report: RunReport, atMs: number) => void;
  readonly planExports: (
    report: RunReport,
    stores: readonly StoreState[],
    directory: CacheDirectory,
    atMs: number,
  ) => readonly ExportPlan[];
  /** Plans prefetches while a link is idle, and demotions and deletions when space or the quota of an account is short. */
  readonly planChanges: (
    stores: readonly StoreState[],
    directory: CacheDirectory,
    atMs: number,
  ) => readonly StoreChange[];
}
