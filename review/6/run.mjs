import { randomBytes } from 'node:crypto';
import http from 'node:http';
import path from 'node:path';
import { runCase, hasTrouble, sleep, waitFor } from '../lib-2/case.mjs';
import { buildConfig } from '../lib-2/config.mjs';
import { Engine } from '../lib-2/engine.mjs';
import { Host, pickAddress } from '../lib-2/hosts.mjs';
import { addMoves } from '../lib-2/moving.mjs';
import { Store } from '../lib-2/store.mjs';

const STREAMS = 36;
const EVENTS = 150;

await runCase(path.dirname(new URL(import.meta.url).pathname), async ({ folder, record, onEnd }) => {
  const store = new Store();
  onEnd(() => store.stop());
  await store.start();
  store.put('config', 'main', { spec: buildConfig(1) });
  store.put('versions', 'model-a', { spec: { model: 'model-a', version: 1 } });
  const engines = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6'].map(
    (id) => new Engine({ id, service: 'models', store, model: 'model-a', slots: 64, log: record }),
  );
  let isBroken = false;
  addMoves(engines, {
    events: EVENTS,
    record,
    onContinue: (id, engine, { versions }) => {
      const others = [...versions].filter((version) => version !== engine.version);
      if (others.length === 0) return;
      isBroken = true;
      record(
        `BROKEN: ${id} runs at ${engine.id} under version ${engine.version} on memory made under version ${others.join(' and ')}`,
      );
    },
  });
  for (const engine of engines) {
    onEnd(() => engine.stop());
    await engine.start(pickAddress());
  }
  const hosts = ['front-1', 'front-2'].map((name) => new Host({ name, storeAddress: store.address, folder }));
  for (const host of hosts) {
    onEnd(() => host.signal('SIGKILL'));
    host.start();
  }
  for (const host of hosts) await host.waitReady();
  record('hosts are ready');
  await sleep(1500);

  const answers = [];
  const sendStream = (host) => {
    const [address, port] = host.front.split(':');
    const id = randomBytes(8).toString('hex');
    const headers = {
      Host: 'desk.example',
      'Attempt-Id': id,
      Authorization: 'Bearer key-north',
      Model: 'model-a',
      'Token-Counts': '3000,200',
      'Prompt-Prefix': `${randomBytes(4).toString('hex')}:2800,${randomBytes(4).toString('hex')}:200`,
      'Deadline-Ms': '15000',
      'Content-Length': 2,
    };
    return new Promise((resolve) => {
      const finish = (result) => {
        answers.push(result);
        resolve();
      };
      const request = http.request(
        { host: address, port, agent: false, method: 'POST', path: '/script/1', headers },
        (response) => {
          let text = '';
          response.on('data', (chunk) => (text += chunk));
          response.on('error', () => undefined);
          response.on('close', () =>
            finish({
              id,
              status: response.statusCode,
              isWhole: response.complete,
              events: (text.match(/^id: /gm) ?? []).length,
            }),
          );
        },
      );
      request.on('error', (error) => finish({ id, status: error.code }));
      request.end('{}');
    });
  };
  const streams = [];
  for (let count = 0; count < STREAMS; count += 1) {
    streams.push(sendStream(hosts[count % hosts.length]));
    await sleep(40);
  }
  await sleep(1000);
  store.put('versions', 'model-a', { spec: { model: 'model-a', version: 2 } });
  record('operator: version 2 is acknowledged');
  const first = await waitFor('the first order', () =>
    engines.flatMap(({ orders }) => orders).find(({ answer }) => answer === 202),
  );
  const engine = engines.find(({ id }) => id === first.engine);
  await waitFor('the new weights', () => engine.version === 2);
  await sleep(200);
  if (hasTrouble) {
    engine.state = 'draining';
    engine.register();
    record(`${engine.id} is emptied to be taken away: it reports draining`);
  }
  await Promise.all(streams);
  for (const answer of answers) record(`answer: ${JSON.stringify(answer)}`);
  return isBroken;
});
