import fc from 'fast-check';
import { checkHistory } from './checks/check-history.js';
import { chooseFaults } from './choose-faults.js';
import type { FaultName } from './faults/fault-name.js';
import { runHistory } from './harness/run-history.js';
import type { HistoryOptions } from './history-options.js';
import type { Violation } from './history/violation.js';
import { recordHistory } from './record-history.js';
import type { RunSummary } from './run-summary.js';
import { buildScheduleArbitrary } from './schedule/build-schedule-arbitrary.js';
import type { Schedule } from './schedule/schedule.js';

/**
 * Runs histories with drawn schedules and checks them. Each seed names one history with one pair of faults; a failing schedule
 * is made smaller as long as it breaks one of the same invariants.
 */
export async function checkHistories(options: HistoryOptions): Promise<RunSummary> {
  const summary: RunSummary = {
    runs: 0,
    operations: {},
    faults: {},
    pairs: new Set(),
    results: {},
    violations: {},
    failures: [],
    errors: [],
  };
  let next = options.seed;
  const runLane = async (): Promise<void> => {
    while (next < options.seed + options.runs) {
      const seed = next;
      next += 1;
      await runSeed(seed, options, summary);
    }
  };
  await Promise.all(Array.from({ length: options.lanes }, runLane));
  return summary;
}

async function runSeed(seed: number, options: HistoryOptions, summary: RunSummary): Promise<void> {
  const faults: readonly FaultName[] = chooseFaults(options.faults, seed);
  let first: readonly Violation[] = [];
  let smallest: { readonly schedule: Schedule; readonly violations: readonly Violation[] } | undefined;
  let shrinkRuns = 0;
  let started = false;

  const checkSchedule = async (schedule: Schedule): Promise<void> => {
    if (started && (smallest === undefined || shrinkRuns >= options.shrinkRuns)) return;
    if (started) shrinkRuns += 1;
    const history = await runHistory(schedule).catch((error: unknown) => {
      if (!started) summary.errors.push({ seed, detail: String(error) });
      return undefined;
    });
    const isFirst = !started;
    started = true;
    if (history === undefined) return;
    const violations = checkHistory(history);
    if (isFirst) {
      recordHistory(summary, history, faults);
      first = violations;
      if (violations.length > 0) options.onViolation?.(seed, violations);
      for (const name of new Set(violations.map(({ invariant }) => invariant))) {
        summary.violations[name] = (summary.violations[name] ?? 0) + 1;
      }
    }
    if (!violations.some((one) => first.some((other) => other.invariant === one.invariant))) return;
    smallest = { schedule, violations };
    throw new Error('an invariant is broken');
  };
  await fc.check(fc.asyncProperty(buildScheduleArbitrary(faults), checkSchedule), { seed, numRuns: 1 });
  if (smallest !== undefined) summary.failures.push({ seed, ...smallest });
}
