import { placeCall, placePlainCall, type EngineCandidate } from '@laburnumshift/place-calls';
import test from 'ava';

const createEngine = (id: string, changes: Partial<EngineCandidate> = {}): EngineCandidate => ({
  id,
  failureDomain: 'north',
  waitMs: 0,
  localTokens: 0,
  fetchTokens: 0,
  heldTokens: 0,
  capacityTokens: 100_000,
  failureShare: 0,
  isSilent: false,
  isOutdated: false,
  ...changes,
});
const place = (candidates: readonly EngineCandidate[], outdatedMs = 400) =>
  placeCall({
    candidates,
    homeKey: 'piece',
    inputTokens: 12_000,
    needTokens: 12_400,
    ownDomain: 'north',
    outdatedMs,
    rates: { readPerMs: 50, fetchPerMs: 400 },
  });
const other = createEngine('b');

const CASES: readonly (readonly [name: string, better: Partial<EngineCandidate>])[] = [
  ['an engine that has the prompt cached goes before one that has to read it', { localTokens: 9000 }],
  ['an engine that can fetch goes before one that has to read', { fetchTokens: 9000 }],
];
for (const [name, better] of CASES) {
  test(name, (t) => {
    t.is(place([other, createEngine('a', better)]).id, 'a');
  });
}

const WORSE: readonly (readonly [name: string, worse: Partial<EngineCandidate>])[] = [
  ['a long queue outweighs cached pieces', { localTokens: 9000, waitMs: 900 }],
  ['a full memory outweighs cached pieces', { localTokens: 9000, heldTokens: 95_000 }],
  ['a silent engine is avoided', { localTokens: 9000, isSilent: true }],
  ['a failing engine is avoided', { localTokens: 9000, failureShare: 0.3 }],
  ['outdated weights outweigh cached pieces', { localTokens: 9000, isOutdated: true }],
];
for (const [name, worse] of WORSE) {
  test(name, (t) => {
    t.is(place([createEngine('a', worse), other]).id, 'b');
  });
}

test('a fetch is better than a second read and worse than the own cache', (t) => {
  const fetching = createEngine('a', { fetchTokens: 9000 });
  const holding = createEngine('b', { localTokens: 9000 });
  t.is(place([fetching, holding]).id, 'b');
  t.is(place([fetching, { ...holding, waitMs: 200 }]).id, 'a');
});

test('all hosts choose alike among equal engines, whatever the order', (t) => {
  const engines = ['a', 'b', 'c', 'd'].map((id) => createEngine(id));
  t.is(place(engines).id, place([...engines].reverse()).id);
});

test('what an engine has to read and its memory are told', (t) => {
  const placed = place([createEngine('a', { localTokens: 4000, fetchTokens: 5000, heldTokens: 37_600 })]);
  t.is(placed.uncachedTokens, 3000);
  t.is(placed.memoryShare, 0.5);
});

test('a plain call goes to the least loaded server, to a near one among equals', (t) => {
  const server = { failureDomain: 'north', calls: 0, slots: 6, failureShare: 0, isSilent: false };
  const far = { ...server, id: 'far', failureDomain: 'south' };
  const near = { ...server, id: 'near' };
  t.is(placePlainCall([far, near], 'north', 0)?.id, 'near');
  t.is(placePlainCall([far, { ...near, calls: 12 }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([far, { ...near, isSilent: true }], 'north', 0)?.id, 'far');
  t.is(placePlainCall([], 'north', 0), undefined);
});
