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
    const serverTracker = createServerTracker();
    serverTracker.expectPieces('e', 'scope', [{ id: 'a', tokens: 500 }]);
    t.is(serverTracker.countCachedTokens('e', 'scope', 'a'), 500);
    t.is(serverTracker.countCachedTokens('other', 'scope', 'a'), 0);
    t.is(serverTracker.countCachedTokens('e', 'other scope', 'a'), 0);
    // Other engines must not fetch a piece that is only expected.
    t.is(serverTracker.getPieceTable('e').getTokens('scope', 'a'), 0);
    clock.tick(2000);
    serverTracker.expectPieces('e', 'scope', [{ id: 'b', tokens: 300 }]);
    clock.tick(600);
    t.is(serverTracker.countCachedTokens('e', 'scope', 'a'), 0);
    t.is(serverTracker.countCachedTokens('e', 'scope', 'b'), 300);
    serverTracker.getPieceTable('e').addPiece('scope', 'a', 500);
    t.is(serverTracker.countCachedTokens('e', 'scope', 'a'), 500);
  },
);

test('the number of expected pieces is bounded, and the oldest are dropped', (t) => {
  const serverTracker = createServerTracker();
  for (let index = 0; index < 30_000; index += 1)
    serverTracker.expectPieces('e', 'scope', [{ id: String(index), tokens: 1 }]);
  t.is(serverTracker.countCachedTokens('e', 'scope', '0'), 0);
  t.is(serverTracker.countCachedTokens('e', 'scope', '29999'), 1);
});
