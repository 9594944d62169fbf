/** A new version of the configuration isolates a tenant whose prompts the engines have cached. */
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from '../lib/client.mjs';
import { MODEL, buildConfig, runCase } from '../lib/deployment.mjs';
import { createHost } from '../lib/host.mjs';
import { event } from '../lib/server.mjs';

const REQUESTS = 6;
const EVENTS = 5;

await runCase(import.meta.url, async ({ hasTrouble, record, folder, store, addServer, addStopper }) => {
  const anna = { name: 'anna', 'api-keys': ['key-anna'], isolated: false };
  const berta = { name: 'berta', 'api-keys': ['key-berta'], isolated: false };
  store.put('config', 'main', { spec: buildConfig(1, { tenants: [anna, berta] }) });
  store.put('versions', MODEL, { spec: { model: MODEL, version: 1 } });
  const models = [{ name: MODEL, version: 1, adapters: [] }];
  const uses = [];
  for (const [index, zone] of ['kochi', 'alappuzha'].entries()) {
    const id = `engine-${index + 1}`;
    /** The tenant whose request made each cached part, by salt and part; an engine finds parts only under the same salt. */
    const cache = new Map();
    const server = await addServer('models', zone, {
      id,
      models,
      respond: async (call, response, help) => {
        const { tenant, 'cache-salt': salt = '', 'prompt-prefix': prefix } = call.headers;
        const parts = prefix.split(',').map((part) => part.trim().split(':'));
        const makers = [];
        for (const [part] of parts) {
          if (!cache.has(`${salt} ${part}`)) break;
          makers.push({ part, maker: cache.get(`${salt} ${part}`) });
        }
        uses.push({ id: call.id, tenant, makers });
        record(
          `${id} runs ${call.id} of ${tenant} under the salt ${salt}, and uses ` +
            (makers.map(({ part, maker }) => `part ${part} made by a request of ${maker}`).join(', ') ||
              'no part'),
        );
        server.state.cacheEvents ??= [];
        for (const [part, tokens] of parts) {
          if (cache.has(`${salt} ${part}`)) continue;
          cache.set(`${salt} ${part}`, tenant);
          server.state.cacheEvents.push([
            server.state.cacheEvents.length + 1,
            '+',
            salt,
            part,
            Number(tokens),
            MODEL,
          ]);
        }
        response.writeHead(200, { ...help.seal, 'Content-Type': 'text/event-stream' });
        for (let number = 1; number <= EVENTS; number += 1) {
          await pause(20);
          response.write(event(number));
          help.setEvents(number);
        }
        response.end();
      },
    });
  }
  const host = await createHost({
    name: 'front-kochi-1',
    zone: 'kochi',
    ip: '127.0.0.51',
    storeAddress: store.address,
    folder,
  });
  addStopper(host.stop);
  host.start();
  await host.waitReady();
  record('the host is ready');
  await pause(4000);
  const send = async (name, session) => {
    const answer = await sendRequest({
      ip: host.ip,
      port: host.port,
      target: '/guest/walk',
      key: `key-${name}`,
      headers: {
        Model: MODEL,
        'Token-Counts': '900,5',
        'Prompt-Prefix': `aa11:500,bb22:300,${session}:100`,
      },
      body: 'a question',
      deadlineMs: 15_000,
    });
    if (answer.status !== 200) throw new Error(`a request of ${name} gets status ${answer.status}`);
    record(`${answer.id}, sent by ${name}, gets status ${answer.status}, whole ${answer.isWhole}`);
    return answer.id;
  };
  for (let count = 0; count < REQUESTS; count += 1) await send('anna', `a0${count}`);
  if (hasTrouble) {
    const tenants = [{ ...anna, isolated: true }, berta];
    store.put('config', 'main', { spec: buildConfig(2, { tenants }) });
    record('the store acknowledges version 2, which isolates anna');
  }
  // Twice the time in which a configuration has to be in force.
  await pause(4000);
  const later = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    later.push(await send('berta', `b0${count}`));
    await send('anna', `a1${count}`);
  }
  const isolated = hasTrouble ? ['anna'] : [];
  const broken = uses.filter(({ id, tenant, makers }) =>
    makers.some(
      ({ maker }) =>
        later.includes(id) && maker !== tenant && (isolated.includes(maker) || isolated.includes(tenant)),
    ),
  );
  return {
    broken: broken.length > 0,
    why: `WALL: ${broken.length} of ${later.length} requests of berta used KV cache that a request of anna made, who is ${hasTrouble ? '' : 'not '}isolated`,
  };
});
