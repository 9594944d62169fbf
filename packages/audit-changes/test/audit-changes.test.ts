import { hasAuditRecord, listAuditRecords, writeAuditRecord } from '@laburnumshift/audit-changes';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import type { AuditRecord } from '@laburnumshift/types';
import test from 'ava';

test('guards against an overwritten audit record and against a listing in the wrong order', async (t) => {
  const platform = await startFakePlatform();
  t.teardown(platform.stop);
  const client = createPlatformClient({
    url: platform.url,
    readsPerSecond: 100,
    writesPerSecond: 100,
    deadlineMs: 200,
  });
  t.teardown(client.close);
  const record = { changeId: 'b', atMs: 2000, author: 'ann', action: 'publish', fromGeneration: 0 } as const;
  const first: AuditRecord = { ...record, files: [], result: 'accepted', detail: 'first' };
  t.true(await writeAuditRecord(client, first));
  t.true(await writeAuditRecord(client, { ...first, detail: 'second' }));
  t.true(await writeAuditRecord(client, { ...first, changeId: 'a', atMs: 10_000 }));
  t.deepEqual(
    (await listAuditRecords(client))?.map(({ atMs, detail }) => `${String(atMs)} ${detail}`),
    ['10000 first', '2000 first'],
  );
  t.true(await hasAuditRecord(client, 2000, 'b'));
  platform.setFaults({ down: true });
  t.false(await writeAuditRecord(client, { ...first, changeId: 'c' }));
  t.is(await listAuditRecords(client), undefined);
});
