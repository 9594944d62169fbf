export { compareDays } from './compare-days.js';
export { decodeEntry } from './decode-entry.js';
export { runDays } from './run-days.js';
export { renderFinding } from './render-finding.js';
export type { DayFinding } from './day-finding.js';
export type { BaselineDay } from './baseline-day.js';
export type { DayResult } from './day-result.js';
