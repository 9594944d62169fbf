import { listAuditRecords } from '@laburnumshift/audit-changes';
import { hashSegment } from '@laburnumshift/check-declarations';
import {
  diffConfig,
  listHistory,
  publishConfig,
  rollbackConfig,
  type PublishResult,
} from '@laburnumshift/publish-config';
import test from 'ava';
import { makeSegment, publish, startPlatform } from './helpers.js';

test('guards against a new generation without a change, and a rollback that lowers the generation', async (t) => {
  const { client } = await startPlatform(t);
  const one = [makeSegment('a', 1), makeSegment('b', 1)];
  t.like(await publish(client, one), { kind: 'published', head: { generation: 1 }, files: { length: 2 } });
  t.deepEqual(await publish(client, one), { kind: 'unchanged', generation: 1 });
  const two = [makeSegment('a', 2)];
  t.like(await diffConfig(client, two), {
    generation: 1,
    changes: [{ change: 'changed', paths: ['accounts[0].weight'] }, { change: 'removed' }],
  });
  t.like(await publish(client, two), { kind: 'published', head: { generation: 2 } });
  t.like(await rollbackConfig(client, 1, 'bob'), { kind: 'published', head: { generation: 3 } });
  t.like(await rollbackConfig(client, 9, 'bob'), { kind: 'refused' });
  const history = (await listHistory(client)) ?? [];
  t.deepEqual(
    history.map(({ generation }) => generation),
    [3, 2, 1],
  );
  t.deepEqual(history[0]?.segments, history[2]?.segments);
  t.deepEqual(
    (await listAuditRecords(client))?.map(({ author, toGeneration }) => `${author} ${String(toGeneration)}`),
    ['bob 3', 'ann 2', 'ann 1'],
  );
});

test('guards against files based on an old generation that overwrite a later change, and against a conflict that shows one change only', async (t) => {
  const { client } = await startPlatform(t);
  await publish(client, [makeSegment('a', 1), makeSegment('b', 1)]);
  await publish(client, [makeSegment('a', 2), makeSegment('b', 1)]);
  const rebased = await publish(client, [makeSegment('a', 1), makeSegment('b', 3)], 1);
  t.like(rebased, { kind: 'published', head: { generation: 3 }, files: { length: 1 } });
  const conflict = await publish(client, [makeSegment('a', 5), makeSegment('b', 1)], 1);
  t.is(conflict.kind, 'refused');
  if (conflict.kind === 'refused') {
    t.deepEqual(
      conflict.findings.map(({ file, path }) => `${file} ${path}`),
      ['a.laburnum.jsonc accounts[0].weight', 'generation 3:a.laburnum.jsonc accounts[0].weight'],
    );
  }
  const [refused] = (await listAuditRecords(client)) ?? [];
  t.like(refused, { result: 'refused', fromGeneration: 3 });
});

test('guards against changes of different files that are each valid but not valid together', async (t) => {
  const { client } = await startPlatform(t);
  await publish(client, [makeSegment('a', 1)]);
  await publish(client, [makeSegment('a', 1), makeSegment('b', 1, 'f'.repeat(64))]);
  const result = await publish(client, [makeSegment('a', 1), makeSegment('c', 1, 'f'.repeat(64))], 1);
  t.is(result.kind, 'refused');
  t.like(await publish(client, [makeSegment('d', 1)], 7), { kind: 'refused' });
});

test('guards against a publish to one folder that removes the files of other folders', async (t) => {
  const { client } = await startPlatform(t);
  const publishBelow = (scope: string, name: string): Promise<PublishResult> =>
    publishConfig(client, { segments: [makeSegment(name, 1)], author: 'ann', scope });
  await publishBelow('one', 'a');
  t.like(await publishBelow('two', 'b'), {
    kind: 'published',
    head: {
      segments: {
        'one/a.laburnum.jsonc': hashSegment({ ...makeSegment('a', 1), file: 'one/a.laburnum.jsonc' }),
      },
    },
  });
});

test('guards against a lost response to the head update that is reported as a failure, or leads to a second generation', async (t) => {
  const { platform, client } = await startPlatform(t);
  await publish(client, [makeSegment('a', 1)]);
  platform.setFaults({ lossKind: 'config-head', loseAnswerAfter: -1 });
  t.like(await publish(client, [makeSegment('a', 2)]), { kind: 'published', head: { generation: 2 } });
  platform.setFaults({ loseAnswerAfter: 0, loseAnswerBefore: -1 });
  t.is((await publish(client, [makeSegment('a', 3)])).kind, 'unknown');
  platform.setFaults({ loseAnswerBefore: 0 });
  t.like(await publish(client, [makeSegment('a', 3)]), { kind: 'published', head: { generation: 3 } });
  t.deepEqual(
    (await listAuditRecords(client))?.map(({ result }) => result),
    ['accepted', 'unknown', 'accepted', 'accepted'],
  );
});

test('guards against a change without an audit record when its publisher stopped before it wrote the record', async (t) => {
  const { platform, client } = await startPlatform(t);
  platform.setFaults({ lossKind: 'audit', loseAnswerBefore: -1 });
  t.like(await publish(client, [makeSegment('a', 1)]), { kind: 'published' });
  t.deepEqual(await listAuditRecords(client), []);
  platform.setFaults({ loseAnswerBefore: 0 });
  await publish(client, [makeSegment('a', 2)]);
  const records = (await listAuditRecords(client)) ?? [];
  t.deepEqual(
    records.map(({ toGeneration, author }) => `${author} ${String(toGeneration)}`),
    ['ann 2', 'ann 1'],
  );
});
