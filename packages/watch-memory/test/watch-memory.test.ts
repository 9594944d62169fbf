import { installClock } from '@laburnumshift/test-utils';
import { watchMemory } from '@laburnumshift/watch-memory';
import test from 'ava';

const MEMORY_BYTES = 200_000_000;
const READING_MS = 100;

/** Reads the memory ten times, with buffers that grow by the given bytes at each reading; counts the collections. */
const watchBuffers = async (rss: number, growthBytes: number): Promise<number> => {
  const clock = installClock();
  const counts = { arrayBuffers: 0, collections: 0 };
  const { stop } = watchMemory({
    memoryBytes: MEMORY_BYTES,
    readMemory: () => ({ rss, arrayBuffers: (counts.arrayBuffers += growthBytes) }),
    collectGarbage: () => {
      counts.arrayBuffers = 0;
    },
    onCollected: () => {
      counts.collections += 1;
    },
  });
  await clock.tickAsync(10 * READING_MS);
  stop();
  clock.uninstall();
  return counts.collections;
};

test.serial(
  'guards against garbage that is kept until the process passes the memory of its machine',
  async (t) => {
    t.true((await watchBuffers(150_000_000, 12_000_000)) >= 5);
  },
);

test.serial('guards against collections while memory is left, or without garbage', async (t) => {
  t.is(await watchBuffers(100_000_000, 12_000_000), 0);
  t.is(await watchBuffers(190_000_000, 100_000), 0);
});
