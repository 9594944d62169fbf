import type { ProbeResult } from '@laburnumshift/forward-types';
import fc from 'fast-check';
import test from 'ava';
import { checkStalledCall } from '../src/check-stalled-call.js';

const SILENT: ProbeResult = { kind: 'silent' };
const GONE: ProbeResult = { kind: 'gone' };
const WITHOUT_COUNTS: ProbeResult = {
  kind: 'alive',
  waiting: undefined,
  running: undefined,
  runs: undefined,
};
const IDLE: ProbeResult = { kind: 'alive', waiting: 0, running: 0, runs: undefined };
const WITHOUT_RUN_LIST: ProbeResult = { kind: 'alive', waiting: 0, running: 2, runs: new Map() };
const createReport = (waiting: number, eventCount?: number): ProbeResult => ({
  kind: 'alive',
  waiting,
  running: 1,
  runs: new Map(eventCount === undefined ? [['other', 3]] : [['c', eventCount]]),
});
/** Reports come every 400 ms. */
const isCallAbandoned = (results: readonly ProbeResult[], changes = {}): boolean =>
  checkStalledCall({
    callId: 'c',
    silentMs: 1000,
    canRetry: true,
    stallTimeoutMs: 4000,
    reports: results.map((result, index) => ({ result, atMs: index * 400 })),
    ...changes,
  }) !== undefined;

const CASES: readonly (readonly [name: string, reports: readonly ProbeResult[], isAbandoned: boolean])[] = [
  ['no report has arrived yet', [], false],
  ['one report was lost', [SILENT], false],
  ['an unresponsive server answers again', [SILENT, createReport(0, 2)], false],
  ['two polls in a row get no answer', [SILENT, SILENT], false],
  ['three polls in a row get no answer', [SILENT, SILENT, SILENT], true],
  ['a silence is over before the third poll', [SILENT, SILENT, createReport(0, 2)], false],
  ['another process answers at the address', [GONE], true],
  ['the call is running and its prompt is being processed', [createReport(3, 0), createReport(2, 0)], false],
  ['the call is queued', [createReport(3), createReport(2)], false],
  [
    'the call may have been the only queued one and have left the queue since',
    [createReport(1), createReport(0)],
    false,
  ],
  ['the call is neither queued nor running', [createReport(0), createReport(0)], true],
  ['the call starts to run between two polls', [createReport(0), createReport(0, 0)], false],
  ['the server generates events that do not arrive', [createReport(0, 4), createReport(0, 9)], true],
  ['the server answers without call counts', [WITHOUT_COUNTS, WITHOUT_COUNTS], false],
  ['the server has running calls and lists none of them', [WITHOUT_RUN_LIST, WITHOUT_RUN_LIST], false],
  ['the server has no calls', [IDLE, IDLE], true],
];
for (const [name, reports, isAbandoned] of CASES) {
  test(`call without progress: ${name}`, (t) => {
    t.is(isCallAbandoned(reports), isAbandoned);
  });
}

test('a call that cannot be sent again stays at a silent server', (t) => {
  t.false(isCallAbandoned([SILENT, SILENT, SILENT, SILENT], { canRetry: false, silentMs: 60_000 }));
});

test('a call that cannot be sent again is not taken for lost by the old reports of a server after a silence', (t) => {
  const absent = createReport(0);
  t.false(isCallAbandoned([SILENT, absent, absent], { canRetry: false }));
  t.true(isCallAbandoned([SILENT, absent, absent, absent, absent], { canRetry: false }));
});

test('a retryable call does not wait for ever at a server without call counts, and other calls are not abandoned', (t) => {
  t.true(isCallAbandoned([WITHOUT_COUNTS, WITHOUT_COUNTS], { silentMs: 4000 }));
  t.false(isCallAbandoned([WITHOUT_COUNTS, WITHOUT_COUNTS], { silentMs: 60_000, canRetry: false }));
});

test('a running call that is not retryable is not abandoned', (t) => {
  t.false(isCallAbandoned([createReport(0, 4), createReport(0, 9)], { canRetry: false }));
});

test('a call is never abandoned while its server answers and has it or may have it', (t) => {
  const alive = fc.oneof(
    fc.record({ waiting: fc.integer({ min: 1, max: 9 }) }).map(({ waiting }) => createReport(waiting)),
    fc.constant(createReport(0, 7)),
  );
  fc.assert(
    fc.property(
      fc.array(fc.oneof(alive, fc.constant(SILENT))),
      alive,
      fc.nat(100_000),
      (reports, last, silentMs) => {
        t.false(isCallAbandoned([...reports, last], { silentMs }));
      },
    ),
    { seed: 23 },
  );
});
