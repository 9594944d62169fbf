import test from 'ava';
import {
  DEPLOYMENTS,
  RETENTION_PLANNERS,
  computeLowerBound,
  generateTrace,
  simulateCell,
} from '@laburnumshift/measure';
import { BASELINE_POLICIES, placeRequest } from '@laburnumshift/place-request';

const DURATION_MS = 8 * 60_000;
const deployment = DEPLOYMENTS['repair-counter'];
const trace = generateTrace(deployment, 7, 1, DURATION_MS);
const run = (change: Partial<Parameters<typeof simulateCell>[0]> = {}) =>
  simulateCell({
    deployment,
    trace,
    policy: placeRequest,
    createPlanner: RETENTION_PLANNERS['keep-all-lru'],
    faultAtMs: DURATION_MS / 2,
    durationMs: DURATION_MS,
    ...change,
  });

// Guards against figures that cannot be repeated.
test('equal seeds give equal figures', (t) => {
  t.deepEqual(run(), run());
  t.deepEqual(generateTrace(deployment, 7, 1, DURATION_MS), trace);
  t.notDeepEqual(generateTrace(deployment, 8, 1, DURATION_MS), trace);
});

// Guards against requests that the simulation loses or counts twice, with and without faults.
test('each request has one result', (t) => {
  for (const fault of [undefined, 'store-dead', 'link-tenth', 'half-restarted'] as const) {
    for (const policy of [placeRequest, BASELINE_POLICIES['prefix-aware']]) {
      const ids = run({ fault, policy }).results.map(({ request }) => request.id);
      t.is(new Set(ids).size, ids.length);
      t.is(ids.length, trace.length);
    }
  }
});

// Guards against a bound that a policy beats, which would make every ratio to it meaningless.
test('no run beats the lower bound', (t) => {
  const bound = computeLowerBound(deployment, trace, 0);
  const { results } = run();
  const tokens = results.reduce((sum, { request }) => sum + request.tokens, 0);
  const computed = results.reduce((sum, result) => sum + result.computedTokens, 0);
  t.true(computed / tokens >= bound.computedShare);
  t.true(results.every(({ recomputedTokens, computedTokens }) => recomputedTokens <= computedTokens));
});

// Guards against a fault that the simulation ignores.
test('faults have an effect', (t) => {
  const { movedBytes: moved, peakLinkUse } = run();
  t.true(peakLinkUse > 0 && peakLinkUse <= 1.000001);
  t.true(run({ fault: 'store-dead' }).movedBytes < moved);
  t.notDeepEqual(run({ fault: 'half-restarted' }).results, run().results);
});
