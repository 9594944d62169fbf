import { startFakePlatform } from '@laburnumshift/fakes/platform';
import test from 'ava';

const writeJson = async (
  url: string,
  path: string,
  body: unknown,
): Promise<{ status: number; version?: number }> => {
  const answer = await fetch(url + path, { method: 'PUT', body: JSON.stringify(body) });
  return { status: answer.status, ...((await answer.json()) as object) };
};

test('guards against a conditional update that overwrites a newer version', async (t) => {
  const platform = await startFakePlatform();
  t.teardown(platform.stop);
  const first = await writeJson(platform.url, '/objects/k/a', { ifVersion: 0, changeId: 'c1', value: 1 });
  t.is(first.status, 200);
  t.is(
    (await writeJson(platform.url, '/objects/k/a', { ifVersion: 0, changeId: 'c2', value: 2 })).status,
    409,
  );
  const next = { ifVersion: first.version, changeId: 'c3', value: 3 };
  t.is((await writeJson(platform.url, '/objects/k/a', next)).status, 200);
  t.is(
    (await writeJson(platform.url, '/objects/k/big', { changeId: 'c', value: 'x'.repeat(1_000_001) })).status,
    413,
  );
  t.is(platform.getObject('k', 'a')?.value, 3);
});

test('guards against a watch that misses a change or hides that its history is gone', async (t) => {
  const platform = await startFakePlatform({ historyLimit: 2 });
  t.teardown(platform.stop);
  const waiting = fetch(`${platform.url}/watch/k?since=0&waitMs=20000`);
  await writeJson(platform.url, '/objects/k/a', { changeId: 'c1', value: 1 });
  t.like(await (await waiting).json(), { revision: 1, events: [{ name: 'a', value: 1 }] });
  for (const name of ['b', 'c'])
    await writeJson(platform.url, `/objects/k/${name}`, { changeId: name, value: 1 });
  t.is((await fetch(`${platform.url}/watch/k?since=0`)).status, 410);
});

test('guards against limits and faults that have no effect', async (t) => {
  const platform = await startFakePlatform({ writesPerSecond: 1 });
  t.teardown(platform.stop);
  t.is((await writeJson(platform.url, '/objects/k/a', { changeId: 'c1', value: 1 })).status, 200);
  t.is((await writeJson(platform.url, '/objects/k/a', { changeId: 'c2', value: 1 })).status, 429);
  t.is((await writeJson(platform.url, '/faults', { down: true })).status, 200);
  t.is((await fetch(`${platform.url}/objects/k/a`)).status, 503);
  t.is((await writeJson(platform.url, '/faults', { unknown: true })).status, 400);
  t.like(platform.getCounts(), { write: 2, read: 1, 'status 429': 1, 'status 503': 1 });
});

test('guards against a host list without lag and against pages that skip objects', async (t) => {
  const platform = await startFakePlatform();
  t.teardown(platform.stop);
  const entry = { host: 'h', kind: 'node', failureDomain: 'd', state: 'live' } as const;
  platform.setHosts([entry]);
  platform.setFaults({ staleHosts: true });
  platform.setHosts([{ ...entry, state: 'leaving' }]);
  t.like(await (await fetch(`${platform.url}/hosts`)).json(), { hosts: [entry] });
  for (const name of ['a', 'b'])
    await writeJson(platform.url, `/objects/k/${name}`, { changeId: name, value: 'x'.repeat(600_000) });
  t.like(await (await fetch(`${platform.url}/objects/k`)).json(), { items: { length: 1 }, next: 'a' });
  t.like(await (await fetch(`${platform.url}/objects/k?after=a`)).json(), { items: [{ name: 'b' }] });
});
