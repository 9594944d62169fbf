import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test from 'ava';

test.serial(
  'a piece of a placed call counts as cached at its engine until cache events are due, and not for other engines',
  (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const board = createServerTracker();
    board.expectPieces('e', 'scope', [{ id: 'a', tokens: 500 }]);
    t.is(board.countCachedTokens('e', 'scope', 'a'), 500);
    t.is(board.countCachedTokens('other', 'scope', 'a'), 0);
    t.is(board.countCachedTokens('e', 'other scope', 'a'), 0);
    // Other engines must not fetch a piece that is only expected.
    t.is(board.getPieceTable('e').getTokens('scope', 'a'), 0);
    clock.tick(2000);
    board.expectPieces('e', 'scope', [{ id: 'b', tokens: 300 }]);
    clock.tick(600);
    t.is(board.countCachedTokens('e', 'scope', 'a'), 0);
    t.is(board.countCachedTokens('e', 'scope', 'b'), 300);
    board.getPieceTable('e').addPiece('scope', 'a', 500);
    t.is(board.countCachedTokens('e', 'scope', 'a'), 500);
  },
);

test('the number of expected pieces is bounded, and the oldest are dropped', (t) => {
  const board = createServerTracker();
  for (let index = 0; index < 30_000; index += 1)
    board.expectPieces('e', 'scope', [{ id: String(index), tokens: 1 }]);
  t.is(board.countCachedTokens('e', 'scope', '0'), 0);
  t.is(board.countCachedTokens('e', 'scope', '29999'), 1);
});
