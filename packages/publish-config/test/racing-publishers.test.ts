import { listAuditRecords } from '@laburnumshift/audit-changes';
import { hashSegment } from '@laburnumshift/check-declarations';
import {
  deleteUnusedSegments,
  listHistory,
  rollbackConfig,
  type PublishResult,
} from '@laburnumshift/publish-config';
import type { ConfigHead, ConfigSegment } from '@laburnumshift/types';
import test from 'ava';
import fc from 'fast-check';
import { makeSegment, publish, startPlatform } from './helpers.js';

test('guards against a skipped or repeated generation, and a lost accepted change, when several publishers run at once', async (t) => {
  const lossArb = fc.record({
    loseAnswerAfter: fc.constantFrom(0, 0, 1, 2),
    loseAnswerBefore: fc.constantFrom(0, 0, 1, 2),
  });
  const roundArb = fc.record({
    changes: fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd'), fc.nat(3)), {
      minLength: 2,
      maxLength: 4,
    }),
    loss: lossArb,
  });
  await fc.assert(
    fc.asyncProperty(fc.array(roundArb, { minLength: 1, maxLength: 4 }), async (rounds) => {
      const { platform, client } = await startPlatform(t);
      const files = new Map(['a', 'b', 'c', 'd'].map((name) => [name, 0]));
      const build = (changes: ReadonlyMap<string, number>): ConfigSegment[] =>
        [...changes].map(([name, weight]) => makeSegment(name, weight));
      const heads = new Map<number, ConfigHead>();
      const changed = new Map<number, readonly string[]>();
      const addResult = (result: PublishResult): void => {
        if (result.kind !== 'published') return;
        t.false(heads.has(result.head.generation));
        heads.set(result.head.generation, result.head);
        changed.set(
          result.head.generation,
          result.files.map(({ file }) => file),
        );
      };
      addResult(await publish(client, build(files)));
      for (const { changes, loss } of rounds) {
        const base = (platform.getObject('config-head', 'main')?.value as ConfigHead).generation;
        platform.setFaults(loss);
        const results = await Promise.all(
          changes.map(([name, weight]) =>
            publish(client, build(new Map([...files, [name, weight + 1]])), base),
          ),
        );
        platform.setFaults({ loseAnswerAfter: 0, loseAnswerBefore: 0 });
        for (const result of results) {
          addResult(result);
          t.not(result.kind, 'unknown');
        }
        const head = platform.getObject('config-head', 'main')?.value as ConfigHead;
        for (const name of files.keys()) {
          const weight = [0, 1, 2, 3, 4].find(
            (n) => hashSegment(makeSegment(name, n)) === head.segments[`${name}.laburnum.jsonc`],
          );
          files.set(name, weight ?? -1);
        }
      }
      const history = (await listHistory(client, 100)) ?? [];
      t.deepEqual(
        history.map(({ generation }) => generation).reverse(),
        [...heads.keys()].sort((a, b) => a - b),
      );
      for (const [index, head] of history.entries()) {
        t.deepEqual(head, heads.get(head.generation));
        const before = history[index + 1]?.segments ?? {};
        const differing = Object.keys(head.segments).filter((file) => head.segments[file] !== before[file]);
        t.deepEqual(differing, [...(changed.get(head.generation) ?? [])].sort());
      }
      t.is(
        (await listAuditRecords(client, 1000))?.filter(({ result }) => result === 'accepted').length,
        history.length,
      );
      await platform.stop();
    }),
    { seed: 20261205, numRuns: 25 },
  );
});

test('guards against a cleanup that deletes a segment that a concurrent publish or rollback still needs', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(fc.nat(2), { minLength: 4, maxLength: 10 }), async (weights) => {
      const { platform, client } = await startPlatform(t);
      await publish(client, [makeSegment('a', 9)]);
      for (const weight of weights) {
        const steps: Promise<unknown>[] = [
          publish(client, [makeSegment('a', weight)]),
          deleteUnusedSegments(client, 1),
          publish(client, [makeSegment('a', (weight + 1) % 3)]),
          rollbackConfig(client, 1, 'bob'),
          deleteUnusedSegments(client, 0),
        ];
        await Promise.all(steps);
        const head = platform.getObject('config-head', 'main')?.value as ConfigHead;
        for (const hash of Object.values(head.segments)) t.truthy(platform.getObject('config-segment', hash));
      }
      await deleteUnusedSegments(client, 0);
      t.true(platform.listNames('config-segment').length <= 2);
      await platform.stop();
    }),
    { seed: 20261206, numRuns: 20 },
  );
});

test('guards against 200 publishes that need more platform calls than the call limits allow in a minute', async (t) => {
  const { platform, client } = await startPlatform(t);
  const names = Array.from({ length: 40 }, (_, i) => `f${String(i)}`);
  const files = names.map((name) => makeSegment(name, 0));
  await publish(client, files);
  const countCalls = async (task: () => Promise<void>): Promise<Record<string, number>> => {
    platform.resetCounts();
    await task();
    const { read = 0, write = 0, list = 0 } = platform.getCounts();
    return { read: (read + list) / 200, write: write / 200 };
  };
  const serial = await countCalls(async () => {
    for (let n = 0; n < 200; n += 1) {
      files[n % 40] = makeSegment(`f${String(n % 40)}`, n + 1);
      t.is((await publish(client, files)).kind, 'published');
    }
  });
  const concurrent = await countCalls(async () => {
    for (let n = 0; n < 200; n += 4) {
      const base = (platform.getObject('config-head', 'main')?.value as ConfigHead).generation;
      const results = await Promise.all(
        [0, 1, 2, 3].map((side) => {
          const changed = files.map((file, i) =>
            i === (n + side) % 40 ? makeSegment(`f${String(i)}`, 1000 + n + side) : file,
          );
          return publish(client, changed, base);
        }),
      );
      for (const result of results) t.is(result.kind, 'published');
      for (const side of [0, 1, 2, 3]) {
        const i = (n + side) % 40;
        files[i] = makeSegment(`f${String(i)}`, 1000 + n + side);
      }
    }
  });
  t.log(
    `calls per publish, one at a time: ${JSON.stringify(serial)}; four at once: ${JSON.stringify(concurrent)}`,
  );
  // A tenth of 400 writes and 2,000 reads a second, shared by 200 publishes a minute, is 12 writes and 60 reads for
  // each.
  t.true((serial.write ?? 0) <= 12 && (concurrent.write ?? 0) <= 12);
  t.true((serial.read ?? 0) <= 60 && (concurrent.read ?? 0) <= 60);
});
