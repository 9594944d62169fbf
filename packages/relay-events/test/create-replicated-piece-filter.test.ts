import type { CacheEvent } from '@laburnumshift/forward-types';
import test from 'ava';
import { createReplicatedPieceFilter } from '../src/create-replicated-piece-filter.js';

const add = (piece: string, tokens = 10): CacheEvent => ({ isAdded: true, scope: 's', piece, tokens });
const drop = (piece: string, tokens = 0): CacheEvent => ({ isAdded: false, scope: 's', piece, tokens });
const createTestFilter = () => {
  const filter = createReplicatedPieceFilter();
  return {
    filter,
    /** Filters events and returns the forwarded ones as `ENGINE PIECE TOKENS`. */
    filterEvents: (engine: string, events: readonly CacheEvent[], isCleared = false): string[] =>
      filter
        .filterChange({ engine, bootId: `${engine}-1`, isCleared, events })
        .flatMap((change) =>
          change.events.map((event) => `${change.engine} ${event.piece} ${String(event.tokens)}`),
        ),
  };
};

test('a piece is forwarded, with both locations, only once a second engine holds it', (t) => {
  const { filterEvents, filter } = createTestFilter();
  t.deepEqual(filterEvents('a', [add('x', 5)]), []);
  t.deepEqual(filterEvents('a', [add('x', 9), add('own')]), []);
  t.deepEqual(filterEvents('b', [add('x', 3)]), ['a x 9', 'b x 3']);
  t.true(filter.isReplicated('s', 'x'));
  t.false(filter.isReplicated('s', 'own'));
  t.deepEqual(filterEvents('a', [drop('x')]), ['a x 0']);
});

test('a piece dropped by its only engine is forgotten, a partly dropped piece is not', (t) => {
  const { filterEvents } = createTestFilter();
  filterEvents('a', [add('x'), add('y')]);
  t.deepEqual(filterEvents('a', [drop('x'), drop('y', 4)]), []);
  t.deepEqual(filterEvents('b', [add('x'), add('y')]), ['a y 4', 'b y 10']);
});

test('a restart of an engine is always forwarded and forgets the pieces that only it held', (t) => {
  const { filterEvents, filter } = createTestFilter();
  filterEvents('a', [add('x')]);
  t.is(filter.filterChange({ engine: 'a', bootId: 'a-2', isCleared: true, events: [] }).length, 1);
  t.deepEqual(filterEvents('b', [add('x')]), []);
});
