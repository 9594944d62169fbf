import type { PublishResult } from '@laburnumshift/publish-config';
import test from 'ava';
import { checkHistory } from '../src/checks/check-history.js';
import type { History } from '../src/history/history.js';
import { BOOKING, buildHistory, COMPLETION, RUN } from './build-history.js';

const NOT_RUN = { kind: 'refused', code: 'no_backend_server', outcome: 'not run' } as const;
const CUT = { kind: 'cut', detail: 'socket hang up' } as const;
const [LIFE] = buildHistory().lives;
const STOPPED = {
  ...LIFE,
  node: 'entry-1/1',
  startMs: 0,
  stopMs: 150,
  drainMs: 450,
  endMs: 900,
  killed: false,
  pauses: [],
};
const LEAVING = { server: 'engine-1', startMs: 0, endMs: 9_000 };

const buildPublication = (
  generation: number,
  endMs: number,
  segments: Record<string, string>,
  file: string,
) => ({
  operator: 'one',
  startMs: endMs - 10,
  endMs,
  result: {
    kind: 'published',
    head: { generation, changeId: 'id', author: 'one', publishedAtMs: 0, segments },
    files: [{ file, change: 'changed' }],
  } as PublishResult,
});
const buildSample = (atMs: number, generation: number) => ({ node: 'entry-1/1', atMs, generation });

/** Each entry: name, the only invariants that may be reported, and the parts of the history. */
const CASES: readonly (readonly [string, readonly string[], Partial<History>])[] = [
  ['a clean history', [], {}],
  ['a block with another text', ['I1'], { engineRuns: { 'engine-1': [{ ...RUN, foreignBy: ['text'] }] } }],
  ['a block of another scope', ['I2'], { engineRuns: { 'engine-1': [{ ...RUN, foreignBy: ['scope'] }] } }],
  [
    'one scope for two accounts',
    ['I2'],
    {
      completions: [COMPLETION, { ...COMPLETION, key: 'request-2', account: 'south' }],
      engineRuns: { 'engine-1': [RUN], 'engine-2': [{ ...RUN, requestId: 'request-2~b.1' }] },
    },
  ],
  ['an answer to another booking', ['I2'], { bookings: [{ ...BOOKING, answer: '{"body":"seats 9"}' }] }],
  [
    'a block of another version',
    ['I3'],
    { engineRuns: { 'engine-1': [{ ...RUN, foreignBy: ['version'] }] } },
  ],
  [
    'one scope for two versions',
    ['I3'],
    { engineRuns: { 'engine-1': [RUN, { ...RUN, weightVersion: 'v2' }] } },
  ],
  ['an answer to another prompt', ['I4'], { completions: [{ ...COMPLETION, prompt: 'other' }] }],
  [
    'a repeated token',
    ['I4'],
    { completions: [{ ...COMPLETION, tokens: [0, 0, 1].map((at) => COMPLETION.tokens[at] ?? '') }] },
  ],
  ['a short answer', ['I4'], { completions: [{ ...COMPLETION, tokens: COMPLETION.tokens.slice(1, 2) }] }],
  [
    'an answer that ends early',
    ['I4'],
    { completions: [{ ...COMPLETION, tokens: COMPLETION.tokens.slice(0, 2) }] },
  ],
  ['a cut by a running node', ['I4'], { completions: [{ ...COMPLETION, result: CUT }] }],
  [
    'a cut by a killed node',
    [],
    {
      completions: [{ ...COMPLETION, result: CUT }],
      lives: [{ node: 'entry-1/1', startMs: 0, endMs: 180, killed: true, pauses: [] }],
    },
  ],
  ['a run that was denied', ['I5'], { completions: [{ ...COMPLETION, tokens: [], result: NOT_RUN }] }],
  [
    'a booking that was denied and sent again later',
    ['I5'],
    {
      bookings: [
        { ...BOOKING, answer: undefined, result: NOT_RUN },
        { ...BOOKING, startMs: 300, endMs: 400 },
      ],
    },
  ],
  [
    'a booking that was denied and ran for its resend',
    [],
    {
      bookings: [
        { ...BOOKING, startMs: 10, endMs: 20, answer: undefined, result: NOT_RUN },
        { ...BOOKING, startMs: 140 },
      ],
    },
  ],
  [
    'a booking that ran in both systems',
    ['I6'],
    {
      serviceCalls: {
        'desk-1': [{ key: 'booking-1', arrivedAtMs: 140, ranAtMs: 150 }],
        older: [{ key: 'booking-1', arrivedAtMs: 140, ranAtMs: 160 }],
      },
    },
  ],
  [
    'new work 4 s after the mark',
    ['I7'],
    { leavings: [LEAVING], engineRuns: { 'engine-1': [{ ...RUN, arrivedAtMs: 4_000, startedAtMs: 4_000 }] } },
  ],
  [
    'a run that waited for a slot for 4 s',
    [],
    { leavings: [LEAVING], engineRuns: { 'engine-1': [{ ...RUN, startedAtMs: 4_000 }] } },
  ],
  [
    'new work 4 s after a mark that could not be read for 2 s',
    [],
    {
      leavings: [LEAVING],
      outages: [{ part: 'hosts', startMs: 500, endMs: 2_500 }],
      engineRuns: { 'engine-1': [{ ...RUN, arrivedAtMs: 4_000, startedAtMs: 4_000 }] },
    },
  ],
  ['a booking cut by a graceful stop', ['I8'], { bookings: [{ ...BOOKING, result: CUT }], lives: [STOPPED] }],
  ['a generation that fell', ['I9'], { generations: [buildSample(50, 2), buildSample(90, 1)] }],
  [
    'a node behind after 8 s',
    ['I9'],
    { publications: [buildPublication(2, 100, {}, 'a')], generations: [buildSample(8_101, 1)] },
  ],
  [
    'a node behind after 8 s of which the platform was down for 1 s',
    [],
    {
      publications: [buildPublication(2, 100, {}, 'a')],
      outages: [{ part: 'platform', startMs: 50, endMs: 1_100 }],
      generations: [buildSample(8_101, 1)],
    },
  ],
  [
    'a change that a later one lost',
    ['I9'],
    {
      publications: [
        buildPublication(2, 100, { a: 'new' }, 'a'),
        buildPublication(3, 120, { a: 'old', b: 'new' }, 'b'),
      ],
    },
  ],
  [
    'a generation that was accepted twice',
    ['I9'],
    { publications: [buildPublication(2, 100, { a: 'x' }, 'a'), buildPublication(2, 120, { b: 'x' }, 'b')] },
  ],
];

for (const [name, expected, parts] of CASES) {
  // Guards against a check that lets its fault pass, and against one that reports what the design page allows.
  test(name, (t) => {
    const violations = checkHistory(buildHistory(parts));
    t.deepEqual([...new Set(violations.map(({ invariant }) => invariant))], expected);
  });
}
