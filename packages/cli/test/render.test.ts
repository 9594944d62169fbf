import { Writable } from 'node:stream';
import { runCli } from '@laburnumshift/cli';
import { serveOperators, type OperatorHandlers } from '@laburnumshift/serve-operators';
import type { RequestTrace } from '@laburnumshift/types';
import test, { type ExecutionContext } from 'ava';

const buildEngine = (name: string, usable: boolean) => ({
  name,
  usable,
  leaving: !usable,
  weightVersion: 'v1',
  running: 2,
  slots: 8,
  queueMs: 1500,
  estimateError: 0.25,
});
const store = { name: 's1', usable: false, linkQueueMs: 90, bytesPerSecond: 1_048_576, exportsWaiting: 3 };
const cell = {
  pool: 'p',
  cell: 0,
  engines: [buildEngine('e1', true), buildEngine('e2', false)],
  stores: [store],
};
const node = {
  host: 'n1',
  failureDomain: 'd1',
  generation: 5,
  stale: false,
  members: ['n1', 'n2', 'n3'],
  platformSilenceMs: 75_000,
  runs: { running: 4 },
  cells: [{ ...cell, queue: { waiting: 7, refused: 1, expired: 0 } }],
  cellHomes: ['p/0'],
  leases: [{ pool: 'p', fencing: 9 }],
  services: [{ name: 'app-1', usable: false, queue: 2 }],
  leaving: ['e2'],
};
const formerHome = {
  ...node,
  host: 'n2',
  generation: 4,
  cells: [{ ...cell, queue: { waiting: 99 } }],
  cellHomes: [],
};
const unreachableNode = { host: 'n3\u001b[2J', unreachable: 'timeout' };

const grantDetail = {
  cell: 1,
  kind: 'granted',
  engine: 'e1',
  weightVersion: 'v1',
  cachedPieces: 3,
  headPieces: 2,
  imports: 4,
  estimateMs: 250,
  candidates: [
    { engine: 'e1', queueMs: 0, transferMs: 20, prefillMs: 230, cost: 12.34 },
    { engine: 'e2', queueMs: 2000, transferMs: 0, prefillMs: 0, cost: 99 },
  ],
};
const steps: RequestTrace['steps'] = [
  { atMs: 1_000_000, step: 'place', detail: grantDetail },
  { atMs: 1_000_400, step: 'attempt-failed', detail: { engine: 'e1', error: 'silent: no bytes', offset: 6 } },
  {
    atMs: 1_000_410,
    step: 'place',
    detail: { cell: 1, kind: 'refused', code: 'overloaded', retryAfterMs: 900 },
  },
  { atMs: 1_061_000, step: 'constructor', detail: { runId: 'r', color: 'red' } },
  { atMs: 1_062_000, step: 'finished', detail: { engine: 'e2', tokens: 8, reason: 'length' } },
];

const startNode = async (t: ExecutionContext, handlers: Partial<OperatorHandlers>): Promise<string> => {
  const operators = await serveOperators({
    listen: '127.0.0.1:0',
    handlers: {
      isHealthy: () => true,
      isReady: () => true,
      readMetrics: () => '',
      readStatus: () => Promise.resolve({ nodes: [node, formerHome, unreachableNode] }),
      explainRequest: () =>
        Promise.resolve([{ requestId: 'r1', account: 'a', service: 's', host: 'n1', steps }]),
      readOutcome: () => Promise.resolve({ kind: 'finished', answer: { status: 201, body: 'seat 7' } }),
      drainNode: () => undefined,
      ...handlers,
    },
  });
  t.teardown(() => operators.close());
  return operators.url;
};

const runCommand = async (...args: readonly string[]): Promise<string> => {
  let text = '';
  const stream = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      text += chunk.toString();
      done();
    },
  });
  await runCli(args, { stdout: stream, stderr: stream, env: {} });
  return text;
};

test('guards against a status that omits lagging nodes, unusable servers or the home of a cell', async (t) => {
  const url = await startNode(t, {});
  const text = await runCommand('status', '--node', url);
  for (const pattern of [
    /^Generation 5 is in force on 1 of 3 nodes\.\nNot in force on: n2 \(generation 4\), n3.* \(no answer: timeout\)/,
    /^n1 +d1 +5 +3 +1 min 15 s +4 +p\/0$/m,
    /^p\/0 +n1 +1\/2 +v1 +4\/16 +7 +1 +0$/m,
    /^e1 +p\/0 +ok +v1 +2\/8 +1\.5 s +25 %$/m,
    /^e2 +p\/0 +leaving /m,
    /^s1 +p\/0 +NOT USABLE +1 MiB\/s +90 ms +3$/m,
    /^app-1 +NOT USABLE for n1, n2 +2$/m,
    /^p +n1 +9$/m,
    /^Leaving: e2$/m,
  ]) {
    t.regex(text, pattern);
  }
  t.false(text.includes('\u001b'), 'control characters of a peer reach the terminal');
});

test('guards against an explanation that omits reasons, times or unknown steps', async (t) => {
  const url = await startNode(t, {});
  const text = await runCommand('explain', 'r1', '--node', url);
  for (const pattern of [
    /^Request r1 of account a to service s, on node n1 from 1970-01-01T00:16:40\.000Z$/m,
    /\+0 ms +cell 1 chose e1 \(weights v1\): 3 pieces are in its cache, 4 are imported.*after 250 ms$/m,
    /> +e1 +0 ms +20 ms +230 ms +12\.3$/m,
    /e2 +2\.0 s +0 ms +0 ms +99\.0$/m,
    /\+400 ms +the attempt on e1 failed after 6 tokens: silent: no bytes$/m,
    /\+410 ms +cell 1 refused: overloaded; retry after 900 ms$/m,
    /\+1 min 1 s +constructor, color red$/m,
    /e2 finished after 8 tokens \(length\)$/m,
  ]) {
    t.regex(text, pattern);
  }
});

test('guards against an outcome that prints the stored body and a failure on responses of another release', async (t) => {
  const url = await startNode(t, { readStatus: () => Promise.resolve({ hosts: 3 }) });
  const outcome = await runCommand('outcome', 'booking', 'k', '--account', 'a', '--node', url);
  t.regex(outcome, /^finished: ran once, by this system, and answered with status 201/);
  t.false(outcome.includes('seat 7'));
  t.regex(await runCommand('status', '--node', url), /"hosts": 3/);
  for (const [kind, pattern] of [
    ['in-progress', /in progress/],
    ['unknown', /Ask the business application\. \(the node died\)/],
    ['toString', /"kind": "toString"/],
  ] as const) {
    const other = await startNode(t, {
      readOutcome: () => Promise.resolve({ kind, detail: 'the node died' }),
    });
    t.regex(await runCommand('outcome', 'booking', 'k', '--account', 'a', '--node', other), pattern);
  }
});
