/** A process of the system is killed while it passes on streams that have neither a length nor chunks. */
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from '../lib/client.mjs';
import { MODEL, PROMPT, buildConfig, runCase } from '../lib/deployment.mjs';
import { createHost } from '../lib/host.mjs';
import { event, respondPlain } from '../lib/server.mjs';

const EVENTS = 20;
const GAP_MS = 150;
const STREAMS = 8;

await runCase(import.meta.url, async ({ hasTrouble, record, folder, store, addServer, addStopper }) => {
  store.put('config', 'main', { spec: buildConfig(1) });
  store.put('versions', MODEL, { spec: { model: MODEL, version: 1 } });
  const models = [{ name: MODEL, version: 1, adapters: [] }];
  const whole = Array.from({ length: EVENTS }, (_, index) => event(index + 1)).join('');
  /** Sends all events of a stream, GAP_MS apart, in a body that ends with its connection. */
  const respondStream = (id) => (call, response, help) => {
    record(`${id} runs ${call.id}`);
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, { ...help.seal, 'Content-Type': 'text/event-stream' });
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      response.write(event(sent));
      help.setEvents(sent);
      if (sent < EVENTS) return;
      clearInterval(timer);
      response.end();
    }, GAP_MS);
    response.on('close', () => {
      clearInterval(timer);
      record(`${id} ends ${call.id} after event ${sent} of ${EVENTS}`);
    });
  };
  for (const [index, zone] of ['kochi', 'alappuzha'].entries()) {
    const engineId = `engine-${index + 1}`;
    await addServer('models', zone, { id: engineId, models, respond: respondStream(engineId) });
    await addServer('desk', zone, { id: `desk-${index + 1}`, respond: respondPlain(20) });
  }
  const hosts = [];
  for (const [index, zone] of ['kochi', 'alappuzha'].entries()) {
    const ip = `127.0.0.${index + 21}`;
    const host = await createHost({
      name: `front-${zone}-1`,
      zone,
      ip,
      storeAddress: store.address,
      folder,
    });
    addStopper(host.stop);
    host.start();
    hosts.push(host);
  }
  await Promise.all(hosts.map((host) => host.waitReady()));
  record('the hosts are ready');
  await pause(4000);
  const [host] = hosts;
  const streams = Array.from({ length: STREAMS }, () =>
    sendRequest({
      ip: host.ip,
      port: host.port,
      target: '/guest/walk',
      key: 'key-anna',
      headers: PROMPT,
      body: 'a question',
      deadlineMs: 15_000,
    }),
  );
  await pause(1500);
  if (hasTrouble) {
    record(`SIGKILL to ${host.name}`);
    host.signal('SIGKILL');
  }
  const answers = await Promise.all(streams);
  const wrong = [];
  for (const answer of answers) {
    const events = answer.body.split('\n\n').length - 1;
    const sealed = /^response-seal:/im.test(answer.head);
    record(
      `the client gets ${answer.id}: status ${answer.status}, seal ${sealed}, body by ${answer.framing}, connection ${answer.end}, ` +
        `${events} of ${EVENTS} events, ends after an event ${answer.body.endsWith('\n\n')}, looks complete ${answer.isWhole}`,
    );
    const looksComplete = answer.isWhole && sealed && answer.body.endsWith('\n\n');
    if (answer.status === 200 && looksComplete && answer.body !== whole) wrong.push(answer);
  }
  if (!hasTrouble && answers.some(({ body }) => body !== whole))
    throw new Error('a stream is not whole without the disruption');
  return {
    broken: wrong.length > 0,
    why: `MIXED: ${wrong.length} of ${answers.length} streams look complete and are not`,
  };
});
