import type { CacheTransfers, PlacementRequest } from '@laburnumshift/forward-types';
import { pack, unpack } from 'msgpackr';
import fc from 'fast-check';
import test from 'ava';
import { decodeAnswer } from '../src/decode-answer.js';
import { decodePlacementRequest } from '../src/decode-placement-request.js';
import { encodeAnswer } from '../src/encode-answer.js';
import { encodePlacementRequest } from '../src/encode-placement-request.js';
import type { PlacementAnswer } from '../src/placement-answer.js';

const SEED = 71;
const count = fc.nat();
const pieces = fc.array(fc.record({ id: fc.string(), tokens: count }));
const PLACEMENT_REQUEST: fc.Arbitrary<PlacementRequest> = fc.record({
  callId: fc.string(),
  service: fc.string(),
  prompt: fc.option(
    fc.record({
      model: fc.string(),
      inputTokens: count,
      maxOutputTokens: count,
      expectedOutputTokens: fc.option(count, { nil: undefined }),
      pieces,
    }),
    { nil: undefined },
  ),
  cacheOwner: fc.string(),
  priority: count,
  targetMs: count,
  remainingMs: fc.integer(),
  waitedMs: count,
  bodyBytes: count,
  failureDomain: fc.string(),
  isResend: fc.boolean(),
  excluded: fc.array(fc.string()),
});
const WITH_COST = fc.tuple(PLACEMENT_REQUEST, count).map(([request, costMs]) => ({ ...request, costMs }));
const address = fc.option(fc.string(), { nil: undefined });
const TRANSFERS: fc.Arbitrary<CacheTransfers> = fc.record({
  fetchFrom: fc.array(address),
  saveTo: fc.array(address),
  fetchUntilMs: fc.option(count, { nil: undefined }),
});
const ANSWER: fc.Arbitrary<PlacementAnswer> = fc.oneof(
  fc.constantFrom<PlacementAnswer>({ kind: 'wait' }, { kind: 'unready' }),
  fc.record({
    kind: fc.constant('refuse' as const),
    cause: fc.constantFrom('no server' as const, 'no room' as const),
    reason: fc.string(),
    retryAfterMs: count,
  }),
  fc.record({
    kind: fc.constant('server' as const),
    server: fc.string(),
    bornMs: count,
    uncachedTokens: count,
    queueTokens: count,
    expectedMs: count,
    memoryShare: fc.option(count, { nil: undefined }),
    fetch: fc.option(fc.record({ source: fc.string(), tokens: count }), { nil: undefined }),
    transfers: fc.option(TRANSFERS, { nil: undefined }),
    version: fc.option(count, { nil: undefined }),
  }),
);

test('placement requests and answers are unchanged after encoding and decoding', (t) => {
  t.notThrows(() => {
    const isSame = (a: unknown, b: unknown): boolean => {
      t.deepEqual(a, b);
      return true;
    };
    fc.assert(
      fc.property(fc.oneof(PLACEMENT_REQUEST, WITH_COST), (request) =>
        isSame(decodePlacementRequest(unpack(pack(encodePlacementRequest(request)))), request),
      ),
      { seed: SEED },
    );
    fc.assert(
      fc.property(ANSWER, (answer) => isSame(decodeAnswer(unpack(pack(encodeAnswer(answer)))), answer)),
      { seed: SEED },
    );
  });
});

test('values that do not match the schema are decoded as undefined', (t) => {
  fc.assert(
    fc.property(fc.anything(), (value) => {
      t.is(decodePlacementRequest(value), undefined);
      t.is(decodeAnswer(value), undefined);
    }),
    { seed: SEED, numRuns: 300 },
  );
});
