import test from 'ava';
import { installClock } from '@laburnumshift/test-utils';
import type { EngineRequest, OlderSystemClient } from '@laburnumshift/types';
import {
  BROKEN,
  LEAVING,
  SILENT,
  simulateCluster,
  type Step,
  UNREACHABLE,
  ALL_TEXTS,
} from './simulate-cluster.js';

// Advances a fake clock until the run ends, so that the backoff of retries takes no real time.
async function runWithFakeClock<T>(start: () => Promise<T>): Promise<T> {
  const clock = installClock();
  try {
    const progress = { ended: false };
    const running = start().finally(() => (progress.ended = true));
    for (let i = 0; i < 400 && !progress.ended; i += 1) await clock.tickAsync(10);
    return await running;
  } finally {
    clock.uninstall();
  }
}

const ALL_STEPS = [0, 1, 2, 3, 4, 5, 'done'] as const;
const faults: Readonly<Record<string, Record<string, (readonly Step[])[]>>> = {
  'late and silent before the first token': { a: [[SILENT]], b: [] },
  'silent in the middle': { a: [[0, 1, SILENT]], b: [] },
  'broken in the middle': { a: [[0, 1, 2, BROKEN]], b: [] },
  'truncated without an error': { a: [[0, 1, 'done']], b: [] },
  'duplicated tokens': { a: [[0, 0, 1, 0, 1, 2, 3, 4, 5, 'done']], b: [] },
  'crossed answer of another request': { a: [[0, { offset: 1, id: 'other', text: 'x' }]], b: [ALL_STEPS] },
  'gap in the offsets': { a: [[0, 2, 3]], b: [] },
  'overlap with another text': { a: [[0, 1, { offset: 1, text: 'x' }, 2]], b: [] },
  'token of another version': { a: [[0, { offset: 1, version: 'v2', text: 'x' }]], b: [] },
  'resumed stream that starts too early': { a: [[0, 1, BROKEN], ALL_STEPS], b: [] },
  'leaving engine': { a: [[LEAVING]], b: [] },
  'unreachable engine': { a: [[UNREACHABLE]], b: [] },
  'crash in the middle': { a: [[0, 'crash']], b: [] },
};

for (const [name, scripts] of Object.entries(faults)) {
  // Guards against tokens that are lost, duplicated or of another request after a fault of a stream.
  test.serial(`the answer is complete after: ${name}`, async (t) => {
    const cluster = simulateCluster(scripts);
    const { texts, end } = await runWithFakeClock(() => cluster.runRequest());
    t.deepEqual(texts, ALL_TEXTS);
    t.deepEqual(end, { kind: 'finished', reason: 'stop' });
    t.deepEqual(cluster.crashes, name.startsWith('crash') ? ['a'] : []);
  });
}

const refusals: readonly [string, readonly Step[], string][] = [
  ['nothing sent', [UNREACHABLE], 'not run'],
  ['sent without a token', [SILENT], 'unknown'],
  ['tokens produced', [0, BROKEN], 'ran'],
];
for (const [name, script, outcome] of refusals) {
  // Guards against a false `not run` and against waiting when nothing is left to try.
  test.serial(`the outcome of a refused run is ${outcome} after: ${name}`, async (t) => {
    const { end } = await runWithFakeClock(() =>
      simulateCluster({ a: [script, script, script, script] }).runRequest(),
    );
    t.like(end, { kind: 'refused', refusal: { outcome } });
    t.true(end.kind === 'refused' && (end.refusal.retryAfterMs ?? 0) > 0);
  });
}

// Guards against refusing a request because its engine changed the weight version before the request began.
test.serial(
  'a request is placed again when the engine runs another version before the first token',
  async (t) => {
    const cluster = simulateCluster({ a: [] });
    const engine = cluster.engines.get('a');
    if (engine) engine.version = 'v2';
    const { place } = cluster.deps;
    const placeAndSwapVersion: typeof place = (request) => {
      if (request.weightVersion === 'v2') cluster.assumedVersions.set('a', 'v2');
      return place(request);
    };
    const { texts, end } = await runWithFakeClock(() => cluster.runRequest({ place: placeAndSwapVersion }));
    t.deepEqual(texts, ALL_TEXTS);
    t.is(end.kind, 'finished');
    t.deepEqual(
      engine?.requests.map((r) => r.cache_scope),
      ['v1', 'v2'],
    );
  },
);

// Guards against mixing two weight versions without a trace, and against using cached pieces of the old version.
test.serial('a version change after the first token recomputes all pieces and is traced', async (t) => {
  const cluster = simulateCluster({ a: [[0, 1, BROKEN]], b: [] });
  const engine = cluster.engines.get('b');
  if (engine) engine.version = 'v2';
  cluster.assumedVersions.set('b', 'v2');
  const { place } = cluster.deps;
  const placeWithoutFirstEngine: typeof place = (request) => {
    if (cluster.placed.length > 0) cluster.assumedVersions.delete('a');
    return place(request);
  };
  const { texts, end } = await runWithFakeClock(() => cluster.runRequest({ place: placeWithoutFirstEngine }));
  t.deepEqual(texts, ALL_TEXTS);
  t.is(end.kind, 'finished');
  t.deepEqual(
    cluster.placed.map((p) => p.weightVersion),
    [undefined, 'v1', undefined],
  );
  t.like(engine?.requests[0], { imports: [], resume_offset: 2, cache_scope: 'v2', head_pieces: 1 });
  t.true(cluster.traces.includes('version-changed'));
});

// Guards against holding a request until its deadline when it can be refused at once.
test.serial('a request whose deadline cannot be met is refused at once as not run', async (t) => {
  const cluster = simulateCluster({ a: [] });
  const { end } = await cluster.runRequest({
    place: () => Promise.resolve({ kind: 'refused', code: 'deadline_unreachable', retryAfterMs: 700 }),
  });
  t.like(end, { refusal: { code: 'deadline_unreachable', outcome: 'not run', retryAfterMs: 700 } });
});

// Guards against losing the position in the queue and against waiting beyond the deadline.
test.serial('a queued request polls with the same id until its deadline', async (t) => {
  const ids = new Set<string>();
  const waits: number[] = [];
  const { end } = await runWithFakeClock(() =>
    simulateCluster({ a: [] }).runRequest({
      place: async (request) => {
        ids.add(request.requestId);
        waits.push(request.waitMs);
        const { sleep } = await import('@laburnumshift/clock');
        await sleep(request.waitMs);
        return { kind: 'queued', position: 1 };
      },
    }),
  );
  t.is(ids.size, 1);
  t.deepEqual(waits.slice(0, 3), [20, 200, 200]);
  t.like(end, { refusal: { code: 'deadline_unreachable', outcome: 'not run' } });
});

// Guards against running for a caller that is gone, and against reporting a crash of the engine for it.
test.serial('an aborted run is refused without a request to an engine or a crash report', async (t) => {
  const cluster = simulateCluster({ a: [[0, { error: { kind: 'cancelled', detail: '', sent: true } }]] });
  const { end } = await cluster.runRequest({}, true);
  t.is(end.kind, 'refused');
  t.deepEqual(cluster.crashes, []);
  t.is(cluster.engines.get('a')?.requests.length, 0);
});

// Guards against placing a convicted request on an engine.
test.serial('a convicted request is refused as ran and is not placed', async (t) => {
  const cluster = simulateCluster({ a: [] });
  const untilMs = Date.now() + 60_000;
  const checkRequest = () => Promise.resolve({ kind: 'convicted' as const, untilMs });
  const { end } = await cluster.runRequest({ quarantine: { ...cluster.deps.quarantine, checkRequest } });
  t.like(end, { refusal: { code: 'request_crashed_engine', outcome: 'ran' } });
  t.is(cluster.placed.length, 0);
});

// Guards against a refusal that waits for the probe of a silent engine, and against retries beyond the budget.
test.serial('a run without a retry left is refused without waiting for the engine', async (t) => {
  const cluster = simulateCluster({ a: [[0, BROKEN]] });
  const engine = cluster.engines.get('a');
  if (engine) engine.readLoad = () => new Promise(() => undefined);
  const retryBudget = { ...cluster.deps.retryBudget, takeRetry: () => false };
  const { end } = await cluster.runRequest({ retryBudget });
  t.like(end, { refusal: { code: 'backend_failed', outcome: 'ran' } });
  t.is(cluster.placed.length, 1);
});

const olderStreams: readonly [string, readonly Step[], object][] = [
  ['whole', [0, 1, 2, 3, 4, 5], { kind: 'finished', reason: 'stop' }],
  ['crossed', [0, { offset: 1, id: 'other' }], { refusal: { outcome: 'ran' } }],
  ['with a gap', [0, 2], { refusal: { outcome: 'ran' } }],
  ['unreachable', [UNREACHABLE], { refusal: { outcome: 'not run' } }],
];
for (const [name, steps, expected] of olderStreams) {
  // Guards against splitting a run between the two systems, and against accepting wrong tokens of the older one.
  test.serial(`a run stays on the older system when its stream is ${name}`, async (t) => {
    const cluster = simulateCluster({ a: [steps] });
    const engine = cluster.engines.get('a');
    const streamCompletion = (_body: unknown, id: string) =>
      engine?.streamCompletion({ request_id: id, weight_version: 'v1', resume_offset: 0 } as EngineRequest);
    const older = { streamCompletion } as unknown as OlderSystemClient;
    const { end } = await cluster.runRequest(
      { getOlderSystem: () => older, chooseSystem: () => 'older' },
      false,
      'moving',
    );
    t.like(end, expected);
    t.is(cluster.placed.length, 0);
  });
}
