/** A stream is broken off, and the engine that is asked to go on sends bytes that are no answer in its body. */
import fs from 'node:fs';
import { setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from '../lib/client.mjs';
import { MODEL, PROMPT, buildConfig, runCase } from '../lib/deployment.mjs';
import { createHost } from '../lib/host.mjs';
import { event, respondPlain } from '../lib/server.mjs';

const CHECK_TIMEOUT_MS = 800;
const SLACK_MS = 500;
const CHECKS = 60;
/** Bytes that are no answer: a line of colons, other text, and an empty line. */
const NO_ANSWER = `${':'.repeat(64)}\nno event\n\n`;

await runCase(import.meta.url, async ({ hasTrouble, record, folder, store, addServer, addStopper }) => {
  store.put('config', 'main', { spec: buildConfig(1) });
  store.put('versions', MODEL, { spec: { model: MODEL, version: 1 } });
  const models = [{ name: MODEL, version: 1, adapters: [] }];
  const turns = new Map();
  /** The desk that ran each seat check. */
  const ran = new Map();
  const respondStream = (id) => (call, response, help) => {
    const turn = (turns.get(call.id) ?? 0) + 1;
    turns.set(call.id, turn);
    const after = Number(call.headers['last-event-id'] ?? 0);
    record(`${id} runs ${call.id}, turn ${turn}, Last-Event-Id ${after}`);
    response.writeHead(200, { ...help.seal, 'Content-Type': 'text/event-stream' });
    if (hasTrouble && turn === 1) {
      response.write(event(1) + event(2));
      record(`${id} breaks ${call.id} off after event 2`);
      setTimeout(() => response.destroy(), 50);
    } else if (hasTrouble) {
      record(`${id} sends bytes that are no answer in the body of ${call.id}`);
      response.write(NO_ANSWER);
    } else {
      for (let number = after + 1; number <= 5; number += 1) response.write(event(number));
      response.end();
    }
  };
  for (const [index, zone] of ['kochi', 'alappuzha'].entries()) {
    const engineId = `engine-${index + 1}`;
    await addServer('models', zone, { id: engineId, models, respond: respondStream(engineId) });
    const deskId = `desk-${index + 1}`;
    const respond = (call, response, help) => {
      ran.set(call.id, deskId);
      respondPlain(20)(call, response, help);
    };
    await addServer('desk', zone, { id: deskId, respond });
  }
  const host = await createHost({
    name: 'front-kochi-1',
    zone: 'kochi',
    ip: '127.0.0.11',
    storeAddress: store.address,
    folder,
  });
  addStopper(host.stop);
  host.start();
  await host.waitReady();
  record('the host is ready');
  // In touch: contact-ms without any disruption.
  await pause(4000);
  const check = () =>
    sendRequest({
      ip: host.ip,
      port: host.port,
      method: 'GET',
      target: '/check/seat',
      key: 'key-anna',
      deadlineMs: 1500,
    });
  const before = await Promise.all(Array.from({ length: 8 }, check));
  record(
    `before: ${before.filter(({ status }) => status === 200).length} of ${before.length} seat checks answered 200`,
  );
  if (before.some(({ status }) => status !== 200)) throw new Error('the deployment does not work');

  const stream = sendRequest({
    ip: host.ip,
    port: host.port,
    target: '/review/walk',
    key: 'key-anna',
    headers: PROMPT,
    body: 'a review',
    deadlineMs: 3000,
  });
  await pause(300);
  const checks = [];
  for (let count = 0; count < CHECKS; count += 1) {
    checks.push(check());
    await pause(100);
  }
  const answers = await Promise.all(checks);
  const streamed = await stream;
  record(`the stream: status ${streamed.status}, whole ${streamed.isWhole}, ${streamed.end}`);
  for (const { id, status, tookMs, end } of answers)
    record(
      `seat check ${id}: status ${status} after ${tookMs} ms, connection ${end}, ` +
        (ran.has(id) ? `ran at ${ran.get(id)}` : 'did not run'),
    );
  const late = answers.filter(({ status, tookMs }) => status === 0 || tookMs > CHECK_TIMEOUT_MS);
  const unanswered = late.filter(
    ({ status, tookMs }) => status === 0 || tookMs > CHECK_TIMEOUT_MS + SLACK_MS,
  );
  const ready = await host.checkReady();
  record(`readiness: ${ready === 0 ? 'no answer within a second' : ready}`);
  if (host.isAlive() && fs.existsSync(`/proc/${host.pid()}/stat`)) {
    const [, user] = /\) (?:\S+ ){11}(\S+)/.exec(fs.readFileSync(`/proc/${host.pid()}/stat`, 'utf8'));
    record(`the process lives and has used ${Number(user) / 100} s of a processor`);
  }
  if (hasTrouble) {
    host.signal('SIGTERM');
    await pause(2000);
    record(`2 s after a SIGTERM the process ${host.isAlive() ? 'still lives' : 'has ended'}`);
  }
  return {
    broken: late.length >= 8 && unanswered.length * 2 > late.length,
    why: `CONFIG: of ${answers.length} seat checks at sound servers, ${late.length} had no answer at their timeout, and ${unanswered.length} of these none ${SLACK_MS} ms later`,
  };
});
