import { chooseKeeper, planFetch } from '@laburnumshift/place-calls';
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

test('missing pieces are fetched from where they are', (t) => {
  t.deepEqual(plan({ a: 500 }, { b: 'store-1' }), {
    localTokens: 500,
    fetchTokens: 4000,
    slowdown: 1,
    sources: [undefined, 'store-1', undefined],
  });
});

test('a source is named for cached pieces too, as the engine may have dropped them', (t) => {
  t.deepEqual(plan({ a: 500, b: 4000 }, { a: 'store-1', b: 'store-2' }), {
    localTokens: 4500,
    fetchTokens: 0,
    slowdown: 1,
    sources: ['store-1', 'store-2', undefined],
  });
});

test('nothing behind a piece that nobody has is fetched', (t) => {
  t.deepEqual(plan({}, { b: 'store-1', c: 'store-1' }), {
    localTokens: 0,
    fetchTokens: 0,
    slowdown: 1,
    sources: [undefined, undefined, undefined],
  });
});

test('a piece that is cached in part is fetched for the rest', (t) => {
  t.like(plan({ a: 200 }, { a: 'engine-2' }), { localTokens: 200, fetchTokens: 300 });
});

test('a store without room keeps nothing, and all hosts choose the same store', (t) => {
  const createStore = (name: string, usedTokens: number) => ({
    name,
    address: name,
    capacityTokens: 1000,
    usedTokens,
  });
  const stores = ['x', 'y', 'z'].map((name) => createStore(name, 0));
  const chosen = chooseKeeper('piece', 100, stores);
  t.is(chooseKeeper('piece', 100, [...stores].reverse())?.name, chosen?.name);
  t.is(chooseKeeper('piece', 100, [createStore('x', 900)]), undefined);
  t.is(chooseKeeper('piece', 100, [createStore('x', 900), createStore('y', 100)])?.name, 'y');
});
