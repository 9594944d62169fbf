import test from 'ava';
import { createOlderSystemClient } from '@laburnumshift/call-older-system';
import { computeToken, startFakeOlderSystem } from '@laburnumshift/fakes/older-system';
import type { EngineStreamItem, OlderSystemClient } from '@laburnumshift/types';

const limits = { firstTokenMs: 5000, betweenTokensMs: 5000 };
const call = (key: string) => ({
  method: 'POST',
  path: '/book',
  headers: { 'idempotency-key': key },
  body: '{}',
});

async function collectItems(client: OlderSystemClient, body: object, stop = new AbortController()) {
  const items: EngineStreamItem[] = [];
  for await (const item of client.streamCompletion({ ...body }, 'r1', limits, stop.signal)) {
    items.push(item);
    if (item.kind === 'token' && item.token.text === 'stop') stop.abort();
  }
  return items;
}

test('guards against lost, repeated or reordered tokens of a resumed completion and against a wrong kind of refusal', async (t) => {
  const older = await startFakeOlderSystem();
  const client = createOlderSystemClient(older);
  const items = await collectItems(client, { prompt: 'p', max_tokens: 5, resume_offset: 2 });
  const texts = items.map((item) => (item.kind === 'token' ? item.token.text : item.kind));
  t.deepEqual(texts, [...[2, 3, 4].map((offset) => computeToken('p', offset)), 'done']);
  t.like((await collectItems(client, {}))[0], { kind: 'error', error: { kind: 'rejected', status: 400 } });
  await older.setFaults({ leaving: true });
  t.like((await collectItems(client, {}))[0], { kind: 'error', error: { kind: 'leaving' } });
  await older.setFaults({ refuseConnections: true });
  t.like((await collectItems(client, {}))[0], { kind: 'error', error: { kind: 'unreachable', sent: false } });
  client.close();
  await older.close();
});

// Without the recorded outcome, a call that the older system accepted would run again on this system.
test('guards against a call with a lost answer whose recorded outcome is not found', async (t) => {
  const older = await startFakeOlderSystem();
  const client = createOlderSystemClient(older);
  t.deepEqual(await client.findOutcome('k1'), { ok: true, value: undefined });
  await older.setFaults({ lostAfterRun: 1 });
  t.like(await client.sendCall(call('k1'), 5000), { ok: false, error: { kind: 'broken', sent: true } });
  const found = await client.findOutcome('k1');
  t.is(found.ok ? found.value?.status : 0, 200);
  t.like(await client.sendCall(call('k1'), 5000), { ok: true });
  t.is(older.countRuns('k1'), 1);
  client.close();
  await older.close();
});
