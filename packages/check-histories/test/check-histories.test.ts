import test from 'ava';
import { checkHistories } from '../src/check-histories.js';
import { FAULT_TABLE } from '../src/faults/fault-table.js';
import type { FaultName } from '../src/faults/fault-name.js';
import { renderSummary } from '../src/render-summary.js';

const OPTIONS = { lanes: 4, shrinkRuns: 0 };

// Guards the whole product: callers, operators and faults at once break none of the invariants.
test.serial('histories with pairs of faults break no invariant', async (t) => {
  const faults = Object.keys(FAULT_TABLE) as FaultName[];
  const summary = await checkHistories({ ...OPTIONS, seed: 100, runs: 12, faults });
  t.deepEqual([summary.failures, summary.errors], [[], []], renderSummary(summary));
  t.is(summary.runs, 12);
});

// Guards what remains when a process ends or halts without notice.
test.serial('histories with a killed and a paused node break no invariant', async (t) => {
  const faults: FaultName[] = ['node-killed', 'node-paused'];
  const summary = await checkHistories({ ...OPTIONS, seed: 200, runs: 3, faults });
  t.deepEqual([summary.failures, summary.errors], [[], []], renderSummary(summary));
  t.true((summary.operations.kills ?? 0) > 0);
});
