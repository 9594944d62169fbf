import { chooseStore, planFetch } from '@laburnumshift/place-calls';
import test from 'ava';

const PIECES = [
  { id: 'a', tokens: 500 },
  { id: 'b', tokens: 4000 },
  { id: 'c', tokens: 300 },
];
const plan = (local: Record<string, number>, sources: Record<string, string>) =>
  planFetch(
    PIECES,
    ({ id }) => local[id] ?? 0,
    ({ id }) => sources[id],
  );

test('a piece missing from the cache is fetched from its source', (t) => {
  t.deepEqual(plan({ a: 500 }, { b: 'store-1' }), {
    localTokens: 500,
    fetchTokens: 4000,
    slowdown: 1,
    sources: [undefined, 'store-1', undefined],
  });
});

test('the plan has a source for cached pieces too, because the engine may have dropped them', (t) => {
  t.deepEqual(plan({ a: 500, b: 4000 }, { a: 'store-1', b: 'store-2' }), {
    localTokens: 4500,
    fetchTokens: 0,
    slowdown: 1,
    sources: ['store-1', 'store-2', undefined],
  });
});

test('no piece after one that is cached nowhere is fetched', (t) => {
  t.deepEqual(plan({}, { b: 'store-1', c: 'store-1' }), {
    localTokens: 0,
    fetchTokens: 0,
    slowdown: 1,
    sources: [undefined, undefined, undefined],
  });
});

test('of a partly cached piece only the missing tokens are fetched', (t) => {
  t.like(plan({ a: 200 }, { a: 'engine-2' }), { localTokens: 200, fetchTokens: 300 });
});

test('a full store is not chosen, and the choice does not depend on the order of the stores', (t) => {
  const createStore = (name: string, usedTokens: number) => ({
    name,
    address: name,
    capacityTokens: 1000,
    usedTokens,
  });
  const stores = ['x', 'y', 'z'].map((name) => createStore(name, 0));
  const chosen = chooseStore('piece', 100, stores);
  t.is(chooseStore('piece', 100, [...stores].reverse())?.name, chosen?.name);
  t.is(chooseStore('piece', 100, [createStore('x', 900)]), undefined);
  t.is(chooseStore('piece', 100, [createStore('x', 900), createStore('y', 100)])?.name, 'y');
});
