import type { CacheEventsPage } from '@laburnumshift/forward-types';
import { readCacheEvents } from '@laburnumshift/read-cache-events';
import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test from 'ava';

const createPage = (changes: Partial<CacheEventsPage>): CacheEventsPage => ({
  bootId: 'b1',
  next: 0,
  hasGap: false,
  clockMs: undefined,
  events: [],
  ...changes,
});
const add = (piece: string, tokens = 10, isAdded = true) => ({ isAdded, scope: 's', piece, tokens });

const runReader = async (
  pages: (CacheEventsPage | 'full' | undefined)[],
  check: (
    reader: ReturnType<typeof readCacheEvents> & { readonly requested: number[]; readonly pieces: string[] },
  ) => void,
  ms = 1000,
): Promise<void> => {
  const clock = installClock();
  const serverTracker = createServerTracker();
  const requested: number[] = [];
  const events = readCacheEvents({
    serverTracker,
    control: {
      readEvents: (_, since) => {
        requested.push(since);
        return pages.length > 0 ? Promise.resolve(pages.shift()) : new Promise(() => undefined);
      },
    },
  });
  try {
    events.startReading('e', '10.0.0.1:80', 100);
    events.startReading('e', '10.0.0.1:80', 100);
    await clock.tickAsync(ms);
    const pieces = serverTracker
      .getPieceTable('e')
      .listPieces(() => true)
      .map(({ piece }) => piece);
    check({ ...events, requested, pieces });
  } finally {
    events.close();
    clock.uninstall();
  }
};

test.serial('events update the pieces, and a second startReading starts no second reader', (t) =>
  runReader(
    [
      createPage({ next: 2, events: [add('x'), add('y')] }),
      createPage({ next: 3, events: [add('x', 0, false)] }),
    ],
    ({ requested, pieces }) => {
      t.deepEqual(requested, [0, 2, 3]);
      t.deepEqual(pieces, ['y']);
    },
  ),
);

test.serial('a partly dropped piece stays with its remaining tokens', (t) =>
  runReader([createPage({ events: [add('x', 128, false)] })], ({ pieces }) => {
    t.deepEqual(pieces, ['x']);
  }),
);

test.serial('a restart clears the pieces of the engine', (t) =>
  runReader(
    [createPage({ events: [add('x')] }), createPage({ bootId: 'b2', events: [add('y')] })],
    ({ pieces, getBootId }) => {
      t.deepEqual(pieces, ['y']);
      t.is(getBootId('e'), 'b2');
    },
  ),
);

test.serial('an engine that does not answer does not count as read until it answers again', async (t) => {
  await runReader(
    [createPage({}), undefined],
    ({ isReading }) => {
      t.false(isReading('e'));
    },
    300,
  );
  await runReader([createPage({}), undefined, createPage({})], ({ isReading }) => {
    t.true(isReading('e'));
  });
});

test.serial('an engine with too many readers is not read again within a second', (t) =>
  runReader(['full'], ({ requested }) => {
    t.is(requested.length, 1);
  }),
);

test.serial('the engine clock advances between two pages', (t) =>
  runReader([createPage({ clockMs: 5000 })], ({ readClockMs }) => {
    t.is(readClockMs(), 6000);
  }),
);
