import type { CacheEvent } from '@laburnumshift/forward-types';
import test from 'ava';
import { createRepeatFilter } from '../src/create-repeat-filter.js';

const add = (piece: string, tokens = 10): CacheEvent => ({ isAdded: true, scope: 's', piece, tokens });
const drop = (piece: string, tokens = 0): CacheEvent => ({ isAdded: false, scope: 's', piece, tokens });
const createPlayer = () => {
  const filter = createRepeatFilter();
  return {
    filter,
    /** What is passed on, as `engine piece tokens`. */
    pass: (engine: string, events: readonly CacheEvent[], isCleared = false): string[] =>
      filter
        .filterChange({ engine, bootId: `${engine}-1`, isCleared, events })
        .flatMap((change) =>
          change.events.map((event) => `${change.engine} ${event.piece} ${String(event.tokens)}`),
        ),
  };
};

test('a piece at one engine is passed on when a second one has it, with both places', (t) => {
  const { pass, filter } = createPlayer();
  t.deepEqual(pass('a', [add('x', 5)]), []);
  t.deepEqual(pass('a', [add('x', 9), add('own')]), []);
  t.deepEqual(pass('b', [add('x', 3)]), ['a x 9', 'b x 3']);
  t.true(filter.isRepeated('s', 'x'));
  t.false(filter.isRepeated('s', 'own'));
  t.deepEqual(pass('a', [drop('x')]), ['a x 0']);
});

test('a piece that left its only engine is forgotten, one that left in part is not', (t) => {
  const { pass } = createPlayer();
  pass('a', [add('x'), add('y')]);
  t.deepEqual(pass('a', [drop('x'), drop('y', 4)]), []);
  t.deepEqual(pass('b', [add('x'), add('y')]), ['a y 4', 'b y 10']);
});

test('a restart forgets what only that engine had, and is always passed on', (t) => {
  const { pass, filter } = createPlayer();
  pass('a', [add('x')]);
  t.is(filter.filterChange({ engine: 'a', bootId: 'a-2', isCleared: true, events: [] }).length, 1);
  t.deepEqual(pass('b', [add('x')]), []);
});
