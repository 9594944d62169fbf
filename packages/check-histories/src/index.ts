/** Records histories of concurrent runs with faults and checks the invariants. */
export { checkHistories } from './check-histories.js';
export { checkHistory } from './checks/check-history.js';
export { FAULT_TABLE } from './faults/fault-table.js';
export type { FaultName } from './faults/fault-name.js';
export type { History } from './history/history.js';
export type { HistoryOptions } from './history-options.js';
export type { RunSummary } from './run-summary.js';
export type { Violation } from './history/violation.js';
