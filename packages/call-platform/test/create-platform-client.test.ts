import { createPlatformClient, type PlatformClientOptions } from '@laburnumshift/call-platform';
import { startFakePlatform, type FakePlatform, type PlatformFaults } from '@laburnumshift/fakes/platform';
import { waitFor } from '@laburnumshift/test-utils';
import type { PlatformClient, PlatformEvent, ReadResult, WriteResult } from '@laburnumshift/types';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';

// The timeouts are long enough for a busy machine, where a shorter attempt would time out and change the result.
const LIMITS = {
  readsPerSecond: 2000,
  writesPerSecond: 2000,
  attemptTimeoutMs: 2_000,
  deadlineMs: 6_000,
  seed: 1,
};

const startPair = async (
  t: ExecutionContext,
  options: Partial<PlatformClientOptions> = {},
): Promise<{ platform: FakePlatform; client: PlatformClient }> => {
  const platform = await startFakePlatform();
  const client = createPlatformClient({ url: platform.url, ...LIMITS, ...options });
  t.teardown(() => {
    client.close();
    return platform.stop();
  });
  return { platform, client };
};

const FAULT_CASES: readonly {
  readonly name: string;
  readonly faults: Partial<PlatformFaults>;
  readonly write: WriteResult['kind'];
  readonly read: ReadResult['kind'];
  readonly stored: boolean;
}[] = [
  { name: 'no fault', faults: {}, write: 'written', read: 'found', stored: true },
  { name: 'slow', faults: { slowMs: 20 }, write: 'written', read: 'found', stored: true },
  {
    name: 'one answer lost after the change',
    faults: { loseAnswerAfter: 1 },
    write: 'written',
    read: 'found',
    stored: true,
  },
  {
    name: 'one answer lost before the change',
    faults: { loseAnswerBefore: 1 },
    write: 'written',
    read: 'found',
    stored: true,
  },
  {
    name: 'all answers lost after the change',
    faults: { loseAnswerAfter: -1 },
    write: 'written',
    read: 'found',
    stored: true,
  },
  {
    name: 'all answers lost before the change',
    faults: { loseAnswerBefore: -1 },
    write: 'unknown',
    read: 'absent',
    stored: false,
  },
  { name: 'down', faults: { down: true }, write: 'unavailable', read: 'unavailable', stored: false },
  {
    name: 'connections cut',
    faults: { unreachable: true },
    write: 'unknown',
    read: 'unavailable',
    stored: false,
  },
  { name: 'silent', faults: { silent: true }, write: 'unknown', read: 'unavailable', stored: false },
];

for (const { name, faults, write, read, stored } of FAULT_CASES) {
  test(`guards against a write or a read with a wrong result: ${name}`, async (t) => {
    const { platform, client } = await startPair(t, { deadlineMs: 3_000 });
    platform.setFaults(faults);
    const result = await client.writeObject('k', 'a', { n: 1 }, 0, 'change-1', 'config');
    t.is(result.kind, write);
    t.is(platform.getObject('k', 'a') !== undefined, stored);
    t.is((await client.readObject('k', 'a', 'config')).kind, read);
    if (result.kind === 'written') t.is(platform.getObject('k', 'a')?.version, result.version);
  });
}

test('guards against a write that reports an unknown result when the connection is refused', async (t) => {
  const { platform, client } = await startPair(t);
  await platform.stop();
  t.is((await client.writeObject('k', 'a', 1, 0, 'change-1', 'config')).kind, 'unavailable');
  t.is(await client.listHosts(), undefined);
  t.true(client.getSilenceMs() > 0);
});

test('guards against lost or duplicated increments when two writers race and answers are lost', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.constantFrom('none', 'after', 'before'), { maxLength: 12 }),
      async (losses) => {
        const { platform, client } = await startPair(t);
        const other = createPlatformClient({ url: platform.url, ...LIMITS, seed: 2 });
        let written = 0;
        let unknown = 0;
        const updateOnce = async (writer: PlatformClient, changeId: string): Promise<void> => {
          const seen = await writer.readObject<number>('k', 'n', 'journal');
          const [value, version] = seen.kind === 'found' ? [seen.object.value, seen.object.version] : [0, 0];
          const result = await writer.writeObject('k', 'n', value + 1, version, changeId, 'journal');
          if (result.kind === 'written') written += 1;
          if (result.kind === 'unknown') unknown += 1;
        };
        for (const [index, loss] of losses.entries()) {
          platform.setFaults({
            loseAnswerAfter: loss === 'after' ? 1 : 0,
            loseAnswerBefore: loss === 'before' ? 1 : 0,
          });
          await Promise.all(
            [client, other].map((writer, side) => updateOnce(writer, `${String(index)}-${String(side)}`)),
          );
        }
        const stored = (platform.getObject('k', 'n')?.value ?? 0) as number;
        other.close();
        client.close();
        await platform.stop();
        return written <= stored && stored <= written + unknown;
      },
    ),
    { seed: 20261204, numRuns: 15 },
  );
  t.pass();
});

test('guards against a write that gives up at a 429 and against cleanup that delays the journal', async (t) => {
  const platform = await startFakePlatform({ writesPerSecond: 3 });
  t.teardown(platform.stop);
  const client = createPlatformClient({
    url: platform.url,
    ...LIMITS,
    writesPerSecond: 5,
    deadlineMs: 30_000,
  });
  t.teardown(client.close);
  const done: string[] = [];
  const writeOne = async (callClass: 'cleanup' | 'journal', name: string): Promise<void> => {
    t.is((await client.writeObject('k', name, 1, 0, name, callClass)).kind, 'written');
    done.push(name);
  };
  const cleanups = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6'].map((name) => writeOne('cleanup', name));
  await Promise.all([...cleanups, writeOne('journal', 'j')]);
  t.true(done.indexOf('j') < 4);
  t.true((platform.getCounts()['status 429'] ?? 0) > 0);
});

test('guards against one watch call per reader and against changes that a reader misses', async (t) => {
  const { platform, client } = await startPair(t, { longPollMs: 200 });
  const seen: PlatformEvent[][] = [[], []];
  for (const events of seen) t.teardown(client.watchObjects('k', (changes) => events.push(...changes)));
  await waitFor('the first watch', () => (platform.getCounts().watch ?? 0) > 0);
  t.is(platform.getCounts().list, 1);
  await client.writeObject('k', 'a', 1, 0, 'change-1', 'config');
  await waitFor('both readers', () => seen.every((events) => events.length === 1));
  platform.setFaults({ muteWatch: true });
  const { version } = platform.getObject('k', 'a') ?? { version: 0 };
  t.is((await client.deleteObject('k', 'a', version, 'config')).kind, 'written');
  platform.setFaults({ muteWatch: false });
  await waitFor('the deletion', () => seen.every((events) => events.at(-1)?.value === null));
});

test('guards against a watch that misses changes after the platform truncated its history', async (t) => {
  const platform = await startFakePlatform({ historyLimit: 2 });
  t.teardown(platform.stop);
  const client = createPlatformClient({ url: platform.url, ...LIMITS, longPollMs: 100 });
  t.teardown(client.close);
  const values = new Map<string, unknown>();
  client.watchObjects('k', (events) => {
    for (const event of events) values.set(event.name, event.value);
  });
  await waitFor('the first watch', () => (platform.getCounts().watch ?? 0) > 0);
  platform.setFaults({ unreachable: true });
  await waitFor('a failed watch', () => (client.getCounts().failed ?? 0) > 1);
  platform.setFaults({ unreachable: false, muteWatch: true });
  for (const name of ['a', 'b', 'c', 'd']) await client.writeObject('k', name, 1, 0, name, 'config');
  platform.setFaults({ muteWatch: false });
  await waitFor('all objects', () => values.size === 4);
  t.deepEqual([...values.keys()].sort(), ['a', 'b', 'c', 'd']);
});
