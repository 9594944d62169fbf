import test from 'ava';
import { createServiceClient } from '@laburnumshift/call-service';
import { startFakeService } from '@laburnumshift/fakes/service';
import { waitFor } from '@laburnumshift/test-utils';

const call = (key: string) => ({
  method: 'POST',
  path: '/book',
  headers: { 'idempotency-key': key },
  body: '{}',
});

test('guards against a call that runs twice and against `sent: false` for a call that may have run', async (t) => {
  const service = await startFakeService();
  const client = createServiceClient(service);
  t.teardown(client.close);
  t.teardown(service.close);
  const faults = [
    [{ lostAfterRun: 1 }, { kind: 'broken', sent: true }, 1],
    [{ lostBeforeRun: 1 }, { kind: 'broken', sent: true }, 0],
    [{ lostAfterRun: 1, lostBy: 'silence' }, { kind: 'silent', sent: true }, 1],
    [{ lostBeforeRun: 1, lostBy: 'silence' }, { kind: 'silent', sent: true }, 0],
    [{ leaving: true }, { kind: 'leaving', sent: true }, 0],
    [{ leaving: false, crashed: true }, { kind: 'unreachable', sent: false }, 0],
    [{ crashed: false, refuseConnections: true }, { kind: 'unreachable', sent: false }, 0],
  ] as const;
  for (const [index, [fault, error, runs]] of faults.entries()) {
    for (const requireRecentAnswer of [false, true]) {
      const key = `${String(index)}-${String(requireRecentAnswer)}`;
      await service.setFaults(fault);
      // A call on an old connection counts as sent until the client has seen the connection close.
      const isDown = async (): Promise<boolean> => {
        const load = await client.readLoad();
        return !load.ok && !load.error.sent;
      };
      if (error.kind === 'unreachable') await waitFor('the end of the old connections', isDown);
      t.like(await client.sendCall(call(key), 300, requireRecentAnswer), { ok: false, error }, key);
      t.is(service.countRuns(key), runs, key);
    }
  }
  await service.setFaults({ refuseConnections: false });
  t.like(await client.sendCall(call('last'), 5000, true), { ok: true });
});

test('guards against a non-idempotent call on a silent connection or on one that the server closed', async (t) => {
  const service = await startFakeService();
  const client = createServiceClient({ url: service.url, recentResponseMs: 0 });
  t.teardown(client.close);
  t.teardown(service.close);
  for (let i = 0; i < 3; i += 1) {
    t.like(await client.sendCall(call('warm'), 5000, false), { ok: true });
    await service.setFaults({ silenceOpen: true });
    t.like(await client.sendCall(call(`k${String(i)}`), 5000, true), { ok: true });
    t.is(service.countRuns(`k${String(i)}`), 1);
  }
  const invalid = { ...call('x'), headers: { 'x-bad': 'a\nb' } };
  t.like(await client.sendCall(invalid, 5000, false), { ok: false, error: { sent: false } });
  const boot = service.getBootId();
  await service.setFaults({ crashed: true });
  await service.setFaults({ crashed: false });
  t.like(await client.sendCall(call('again'), 5000, true), { ok: true });
  const load = await client.readLoad();
  t.true(load.ok && load.value.boot_id !== boot);
});

test('guards against faults of the fake service that cannot be set over HTTP while it refuses connections', async (t) => {
  const service = await startFakeService();
  const sendFaults = (url: string, body: object): Promise<Response> =>
    fetch(`${url}/faults`, { method: 'PUT', body: JSON.stringify(body) });
  t.is((await sendFaults(service.url, { refuseConnections: true })).status, 200);
  await t.throwsAsync(fetch(`${service.url}/load`));
  t.is((await sendFaults(service.adminUrl, { refuseConnections: false })).status, 200);
  t.is((await fetch(`${service.url}/load`)).status, 200);
  t.is((await sendFaults(service.adminUrl, { slowMs: 'x' })).status, 400);
  await service.close();
});
