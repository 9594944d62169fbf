import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test from 'ava';

const HOSTS = 40;
const LINK_PER_MS = 400;
const PIECE_TOKENS = 9000;
/** Utilization of the link above which prefill is as fast as a fetch. */
const MAX_UTILIZATION = 0.85;

test.serial(
  'hosts that know only their own fetches do not overload the link of a popular store',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const serverTrackers = Array.from({ length: HOSTS }, () => createServerTracker());
    let fetchedTokens = 0;
    const seconds = 30;
    // The hosts in turn request twice what the link carries.
    const fetchesPerSecond = (2 * LINK_PER_MS * 1000) / PIECE_TOKENS;
    for (let index = 0; index < seconds * fetchesPerSecond; index += 1) {
      const serverTracker = serverTrackers[index % HOSTS];
      if (
        serverTracker !== undefined &&
        serverTracker.getFetchRate('store') * HOSTS < LINK_PER_MS * MAX_UTILIZATION
      ) {
        serverTracker.observeFetch('store', PIECE_TOKENS);
        fetchedTokens += PIECE_TOKENS;
      }
      await clock.tickAsync(1000 / fetchesPerSecond);
    }
    const utilization = fetchedTokens / (seconds * 1000 * LINK_PER_MS);
    t.true(utilization < 1.1, String(utilization));
    t.true(utilization > 0.6, String(utilization));
    await clock.tickAsync(30_000);
    t.true((serverTrackers[0]?.getFetchRate('store') ?? 1) < 0.1);
  },
);
