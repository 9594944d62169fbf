import { installClock } from '@laburnumshift/test-utils';
import { createEngineBoard } from '@laburnumshift/track-engines';
import test from 'ava';

const HOSTS = 40;
const LINK_PER_MS = 400;
const PIECE_TOKENS = 9000;
/** Use of the link from which on reading is as fast. */
const FULL_USE = 0.85;

test.serial(
  'hosts that know only their own fetches keep a popular store below what its link carries',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const boards = Array.from({ length: HOSTS }, () => createEngineBoard());
    let fetched = 0;
    const seconds = 30;
    // Twice what the link carries is asked for, by each host in turn.
    const asksPerS = (2 * LINK_PER_MS * 1000) / PIECE_TOKENS;
    for (let ask = 0; ask < seconds * asksPerS; ask += 1) {
      const board = boards[ask % HOSTS];
      if (board !== undefined && board.getFetchRate('store') * HOSTS < LINK_PER_MS * FULL_USE) {
        board.observeFetch('store', PIECE_TOKENS);
        fetched += PIECE_TOKENS;
      }
      await clock.tickAsync(1000 / asksPerS);
    }
    const use = fetched / (seconds * 1000 * LINK_PER_MS);
    t.true(use < 1.1, String(use));
    t.true(use > 0.6, String(use));
    await clock.tickAsync(30_000);
    t.true((boards[0]?.getFetchRate('store') ?? 1) < 0.1);
  },
);
