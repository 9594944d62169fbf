import type { CacheEventsPage } from '@laburnumshift/forward-types';
import { readCacheEvents } from '@laburnumshift/read-cache-events';
import { installClock } from '@laburnumshift/test-utils';
import { createEngineBoard } from '@laburnumshift/track-engines';
import test from 'ava';

const createPage = (changes: Partial<CacheEventsPage>): CacheEventsPage => ({
  bootId: 'b1',
  next: 0,
  isGap: false,
  clockMs: undefined,
  events: [],
  ...changes,
});
const add = (piece: string, tokens = 10, isAdded = true) => ({ isAdded, scope: 's', piece, tokens });

const runWorld = async (
  pages: (CacheEventsPage | 'full' | undefined)[],
  check: (
    world: ReturnType<typeof readCacheEvents> & { readonly asked: number[]; readonly pieces: string[] },
  ) => void,
  ms = 1000,
): Promise<void> => {
  const clock = installClock();
  const board = createEngineBoard();
  const asked: number[] = [];
  const events = readCacheEvents({
    board,
    control: {
      readEvents: (_, since) => {
        asked.push(since);
        return pages.length > 0 ? Promise.resolve(pages.shift()) : new Promise(() => undefined);
      },
    },
  });
  try {
    events.startReading('e', '10.0.0.1:80', 100);
    events.startReading('e', '10.0.0.1:80', 100);
    await clock.tickAsync(ms);
    const pieces = board
      .getPieces('e')
      .listPieces(() => true)
      .map(({ piece }) => piece);
    check({ ...events, asked, pieces });
  } finally {
    events.close();
    clock.uninstall();
  }
};

test.serial('pieces follow the events, and one reader asks for each engine', (t) =>
  runWorld(
    [
      createPage({ next: 2, events: [add('x'), add('y')] }),
      createPage({ next: 3, events: [add('x', 0, false)] }),
    ],
    ({ asked, pieces }) => {
      t.deepEqual(asked, [0, 2, 3]);
      t.deepEqual(pieces, ['y']);
    },
  ),
);

test.serial('a piece that was dropped in part stays with the tokens that are left', (t) =>
  runWorld([createPage({ events: [add('x', 128, false)] })], ({ pieces }) => {
    t.deepEqual(pieces, ['x']);
  }),
);

test.serial('a restart clears what the engine had', (t) =>
  runWorld(
    [createPage({ events: [add('x')] }), createPage({ bootId: 'b2', events: [add('y')] })],
    ({ pieces, getBootId }) => {
      t.deepEqual(pieces, ['y']);
      t.is(getBootId('e'), 'b2');
    },
  ),
);

test.serial('an engine that does not answer is not taken as followed until it does', async (t) => {
  await runWorld(
    [createPage({}), undefined],
    ({ isReading }) => {
      t.false(isReading('e'));
    },
    300,
  );
  await runWorld([createPage({}), undefined, createPage({})], ({ isReading }) => {
    t.true(isReading('e'));
  });
});

test.serial('an engine with too many readers is asked again later', (t) =>
  runWorld(['full'], ({ asked }) => {
    t.is(asked.length, 1);
  }),
);

test.serial('the clock of the engines runs on between two pages', (t) =>
  runWorld([createPage({ clockMs: 5000 })], ({ readClockMs }) => {
    t.is(readClockMs(), 6000);
  }),
);
