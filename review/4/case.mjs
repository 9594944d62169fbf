/** A host freezes; meanwhile another one is killed and starts again, and a key is taken away; the store does not answer as the host wakes. */
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from '../lib/client.mjs';
import { MODEL, buildConfig, runCase } from '../lib/deployment.mjs';
import { createHost } from '../lib/host.mjs';
import { startProxy } from '../lib/proxy.mjs';
import { respondPlain } from '../lib/server.mjs';

const REVOKE_MS = 5000;
const FREEZE_MS = 3500;
const STORE_DOWN_MS = 4500;
const ANNA = { name: 'anna', 'api-keys': ['key-anna'] };
const BERTA = { name: 'berta', 'api-keys': ['key-berta', 'key-taken'] };

await runCase(import.meta.url, async ({ hasTrouble, record, folder, store, addServer, addStopper }) => {
  store.put('config', 'main', { spec: buildConfig(1, { tenants: [ANNA, BERTA] }) });
  store.put('versions', MODEL, { spec: { model: MODEL, version: 1 } });
  const ran = [];
  for (const [index, zone] of ['kochi', 'alappuzha', 'thrissur'].entries()) {
    const id = `desk-${index + 1}`;
    const respond = (call, response, help) => {
      ran.push({ id: call.id, server: id, atMs: Date.now() });
      respondPlain(20)(call, response, help);
    };
    await addServer('desk', zone, { id, respond });
  }
  const proxy = await startProxy(store.address);
  addStopper(proxy.stop);
  const hosts = [];
  for (const [index, zone] of ['kochi', 'alappuzha', 'thrissur'].entries()) {
    const host = await createHost({
      name: `front-${zone}-1`,
      zone,
      ip: `127.0.0.${index + 31}`,
      storeAddress: proxy.address,
      folder,
    });
    addStopper(host.stop);
    host.start();
    hosts.push(host);
  }
  await Promise.all(hosts.map((host) => host.waitReady()));
  record('the hosts are ready');
  await pause(4000);
  const [, restarted, frozen] = hosts;
  const send = async (host) => {
    const answer = await sendRequest({
      ip: host.ip,
      port: host.port,
      target: '/book/seat',
      key: 'key-taken',
      body: 'a seat',
      deadlineMs: 1500,
    });
    return answer;
  };
  if ((await send(frozen)).status !== 200) throw new Error('the deployment does not work');

  const startedMs = Date.now();
  const waitUntil = (ms) => pause(Math.max(0, startedMs + ms - Date.now()));
  if (hasTrouble) {
    record(`SIGKILL to ${restarted.name}`);
    restarted.signal('SIGKILL');
    await restarted.exit;
    await waitUntil(500);
    record(`SIGSTOP to ${frozen.name}`);
    frozen.signal('SIGSTOP');
    record(`${restarted.name} starts again`);
    restarted.start(false);
  }
  await waitUntil(2000);
  store.put('config', 'main', {
    spec: buildConfig(2, { tenants: [ANNA, { ...BERTA, 'api-keys': ['key-berta'] }] }),
  });
  const takenMs = Date.now();
  record('the store acknowledges version 2, which takes key-taken away');
  if (hasTrouble) {
    await waitUntil(500 + FREEZE_MS - 200);
    record('the store does not answer any more');
    proxy.setCut(true);
    await waitUntil(500 + FREEZE_MS);
    record(`SIGCONT to ${frozen.name}`);
    frozen.signal('SIGCONT');
  }
  const cutEndMs = 500 + FREEZE_MS - 200 + STORE_DOWN_MS;
  const requests = [];
  while (Date.now() < startedMs + cutEndMs) {
    requests.push(send(frozen));
    await pause(50);
  }
  if (hasTrouble) record('the store answers again');
  proxy.setCut(false);
  const answers = await Promise.all(requests);
  const late = answers.filter(({ sentMs }) => sentMs > takenMs + REVOKE_MS);
  const broken = [];
  for (const { id, sentMs, status } of answers) {
    const run = ran.find((one) => one.id === id);
    record(
      `booking ${id} with key-taken, sent ${sentMs - takenMs} ms after the acknowledgement: status ${status}` +
        (run === undefined ? ', did not run' : `, ran at ${run.server}`),
    );
    if (run !== undefined && sentMs > takenMs + REVOKE_MS) broken.push(id);
  }
  return {
    broken: broken.length > 0,
    why: `CONFIG: of ${late.length} bookings that were sent later than ${REVOKE_MS} ms after their key was taken away, ${broken.length} ran`,
  };
});
