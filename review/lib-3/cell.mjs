import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { ObjectStore } from './object-store.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const RUN_ARGUMENTS = [
  '--expose-gc',
  '--max-semi-space-size=4',
  '--max-old-space-size=120',
  'target/laburnumshift.mjs',
  'serve',
  '--metrics-port',
  '9464',
];
export const HOST_NAME = 'pule25.example';
export const KEY = 'jnbanfqasnmgkcuyj8pj';
export const TROUBLE = process.env.TROUBLE !== '0';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Loopback addresses of this run, so that the fixed metrics port is free. */
const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
export const stationIp = `${prefix}.1`;
/** Addresses of machines that engines run on. */
export const buildIp = (number) => `${prefix}.${100 + number}`;

export async function findPort(ip) {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Writes what happened to record.txt in the folder of the case, each line with the seconds since the start. */
export function openRecord(folder) {
  const startedMs = Date.now();
  const file = path.join(folder, 'record.txt');
  fs.writeFileSync(file, '');
  return (line) => {
    fs.appendFileSync(file, `${((Date.now() - startedMs) / 1000).toFixed(3)} ${line}\n`);
  };
}

/** The configuration of a small deployment: a pool of engines, a plain service and stores of KV cache. */
export function buildConfig(version, { stores = [], limits = {}, routes = {}, engine = {} } = {}) {
  const stream = { kind: 'streaming', priority: 0, service: 'huvo11a', sticky: true, 'target-gap-ms': 300 };
  const plain = {
    priority: 2,
    service: 'kafi81c',
    'timeout-ms': 800,
    'target-latency-ms': 100,
    public: false,
  };
  return {
    version,
    routes: [
      {
        name: 'script',
        host: HOST_NAME,
        'path-prefix': '/script/',
        ...stream,
        'timeout-ms': 15_000,
        'target-latency-ms': 1000,
        'max-attempts': 2,
        public: false,
        resumable: true,
        ...routes.script,
      },
      {
        name: 'guest',
        host: HOST_NAME,
        'path-prefix': '/guest/',
        ...stream,
        'timeout-ms': 15_000,
        'target-latency-ms': 800,
        'max-attempts': 1,
        public: false,
        resumable: false,
        ...routes.guest,
      },
      {
        name: 'book',
        host: HOST_NAME,
        'path-prefix': '/book/',
        kind: 'non_idempotent',
        'max-attempts': 1,
        ...plain,
        ...routes.book,
      },
      {
        name: 'check',
        host: HOST_NAME,
        'path-prefix': '/check/',
        kind: 'idempotent',
        'max-attempts': 2,
        ...plain,
        ...routes.check,
      },
    ],
    services: [
      ...stores.map((address, index) => ({
        name: `kv-${index}`,
        'kv-store-addr': address,
        zone: 'z1',
        'kv-capacity-tokens': 747_583,
        'link-mbps': 420_000,
        'max-in-flight': 12,
        managed: true,
        first_ms: 6,
      })),
      {
        name: 'huvo11a',
        'health-path': '/healthz',
        'max-connections': 360,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          'kv-capacity-tokens': 105_184,
          'kv-token-bytes': 163_840,
          'link-mbps': 550_000,
          moves: true,
          backups: true,
          managed: true,
          stride: 5,
          'max-in-flight': 12,
          'pin-ms': 4000,
          'hold-ms': 2000,
          handle_s: 5,
          models: [{ name: 'daka510000' }],
          ...engine,
        },
      },
      { name: 'kafi81c', 'health-path': '/healthz', 'max-connections': 96, protocol: 'h1', tls: false },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
      ...limits,
    },
    tenants: [{ name: 'bozi300', 'api-keys': [KEY], priority: 1 }],
  };
}

/** One host of the system: a process of its own, started with the command of the deploy file. */
export class Host {
  ends = [];

  constructor(name, index, storeAddress, settings = {}) {
    const ip = `${prefix}.${10 + index}`;
    Object.assign(this, { name, ip, storeAddress, settings });
  }

  async prepare(folder, ports) {
    const { front, ready, internal } = ports;
    this.front = { host: this.ip, port: front };
    this.ready = { host: this.ip, port: ready };
    const values = {
      node: this.name,
      role: 'forwarder',
      'machine-class': 'front',
      serves: 'front',
      ip: this.ip,
      zone: 'z1',
      region: 'r1',
      'listen.front': `${this.ip}:${front}`,
      'listen.ready': `${this.ip}:${ready}`,
      'internal-ports': `${internal},${internal + 15}`,
      bootstrap: 'true',
      'limits.cpu-share': '0.675',
      'limits.cores': '1',
      'limits.memory-mb': '350',
      'limits.max-fds': '4100',
      'limits.link-mbps': '1000.0',
      'heartbeat-ms': '1200',
      'bounds.contact-ms': '3000',
      'bounds.drain-ms': '2000',
      'bounds.grace-s': '8',
      'bounds.config-apply-ms': '2000',
      'bounds.fail-closed': 'true',
      'bounds.revoke-ms': '5000',
      'bounds.budget-ratio': '0.2',
      'bounds.budget-window-s': '10',
      'bounds.budget-slack': '52',
      'bounds.lease-ms': '3000',
      'bounds.version-ms': '8000',
      'platform.address': this.storeAddress,
      ...this.settings,
    };
    this.file = path.join(folder, `${this.name}.conf`);
    this.values = values;
    this.#write(values);
  }

  #write(values) {
    fs.writeFileSync(
      this.file,
      Object.entries(values)
        .map(([key, value]) => `${key}=${value}\n`)
        .join(''),
    );
  }

  start({ isFirst = true } = {}) {
    if (!isFirst) this.#write({ ...this.values, bootstrap: 'false' });
    const log = fs.openSync(`${this.file}.log`, 'a');
    this.child = spawn('node', [...RUN_ARGUMENTS, '--settings', this.file], {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C' },
      stdio: ['ignore', log, log],
    });
    const { child } = this;
    child.on('exit', (code, signal) => this.ends.push({ code, signal, at: Date.now() }));
  }

  signal(signal) {
    this.child.kill(signal);
  }

  async waitReady(timeoutMs = 15_000) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      if ((await askReady(this.ready, 500)) === 200) return true;
      await sleep(100);
    }
    return false;
  }
}

export function askReady({ host, port }, timeoutMs) {
  return new Promise((resolve) => {
    const request = http.get(
      { host, port, path: '/readyz', agent: false, timeout: timeoutMs },
      (response) => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', () => resolve(0));
  });
}

/** Starts the store, the servers and the hosts of a case, and ends them with the process. */
export async function startCell({ servers, stores = [], hosts = 1, config = {}, settings = {} }) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const store = new ObjectStore();
  const storeAddress = await store.start(stationIp);
  for (const server of [...servers, ...stores]) await server.start(server.ip ?? stationIp);
  store.write('config', 'main', buildConfig(1, { stores: stores.map(({ address }) => address), ...config }));
  store.write('versions', 'daka510000', { model: 'daka510000', version: 1 });
  for (const server of servers) store.write('servers', server.id, server.describe());
  const heartbeat = setInterval(() => {
    for (const server of servers) {
      server.sequence += 1;
    }
  }, 1200);
  const ip = `${prefix}.10`;
  const [front, ready] = [await findPort(ip), await findPort(ip)];
  const internal = 20_000 + Math.floor(Math.random() * 10_000);
  const started = [];
  for (let index = 0; index < hosts; index += 1) {
    const host = new Host(`front-${index + 1}`, index, storeAddress, settings);
    await host.prepare(folder, { front, ready, internal });
    host.start();
    started.push(host);
  }
  const stop = async () => {
    clearInterval(heartbeat);
    for (const { child } of started) child.kill('SIGKILL');
    store.stop();
    for (const server of [...servers, ...stores]) server.stop();
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(folder, { recursive: true, force: true });
    else console.log(folder);
  };
  for (const host of started)
    if (!(await host.waitReady())) {
      await stop();
      throw new Error(`${host.name} did not get ready`);
    }
  return { store, hosts: started, stop, folder };
}

let lastId = 0;
export const makeId = () => {
  lastId += 1;
  return `a${process.pid.toString(16)}${lastId.toString(16).padStart(8, '0')}`;
};

/** Sends one request as a sound client does and resolves to what it saw. */
export function sendCall(
  { host, port },
  {
    method = 'GET',
    path: target,
    headers = {},
    body,
    id = makeId(),
    timeoutMs = 20_000,
    agent = false,
    deadlineMs,
  },
) {
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const events = [];
    const finish = (result) => {
      clearTimeout(timer);
      resolve({
        id,
        sentAt,
        ms: Date.now() - sentAt,
        status: 0,
        body: '',
        isWhole: false,
        headers: {},
        ...result,
      });
    };
    const request = http.request(
      {
        host,
        port,
        method,
        path: target,
        agent,
        headers: {
          Host: HOST_NAME,
          'Attempt-Id': id,
          Authorization: `Bearer ${KEY}`,
          ...(deadlineMs !== undefined && { 'Deadline-Ms': String(deadlineMs) }),
          ...(body !== undefined && { 'Content-Length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (response) => {
        response.on('data', (chunk) => events.push(chunk));
        const end = () =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(events).toString(),
            isWhole: response.complete,
          });
        response.on('end', end);
        response.on('error', end);
        response.on('close', end);
      },
    );
    const timer = setTimeout(() => {
      finish({ error: 'no answer', body: Buffer.concat(events).toString() });
      request.destroy();
    }, timeoutMs);
    request.on('error', (error) => finish({ error: error.message }));
    request.end(body);
  });
}

export const buildPrompt = (pieces, outputTokens = 20) => ({
  Model: 'daka510000',
  'Token-Counts': `${pieces.reduce((sum, [, tokens]) => sum + tokens, 0)},${outputTokens}`,
  'Prompt-Prefix': pieces.map(([piece, tokens]) => `${piece}:${tokens}`).join(','),
});

/** Starts processes that have ended again, as the platform does, until `stop` is called. */
export function keepRunning(hosts, record) {
  let isStopped = false;
  const loops = hosts.map(async (host) => {
    for (let seen = 0; !isStopped;) {
      await sleep(50);
      if (host.ends.length === seen) continue;
      seen = host.ends.length;
      const { code, signal } = host.ends.at(-1);
      record(`platform: ${host.name} ended by itself, code ${code}, signal ${signal}`);
      await sleep(500);
      if (isStopped) return;
      host.start({ isFirst: false });
      record(`platform: ${host.name} started again`);
    }
  });
  return async () => {
    isStopped = true;
    await Promise.all(loops);
  };
}

/** Ordinary callers of all hosts, each with one request at a time. Returns a function that stops them and resolves to what they saw. */
export function startCallers(
  hosts,
  record,
  { perHost = 4, pauseMs = 100, method = 'GET', path: target = '/check', timeoutMs = 6000 } = {},
) {
  const answers = [];
  let isStopped = false;
  const loops = hosts.flatMap((host) =>
    Array.from({ length: perHost }, async (_, caller) => {
      while (!isStopped) {
        const body = method === 'POST' ? 'x' : undefined;
        const answer = await sendCall(host.front, {
          method,
          path: `${target}/${caller}`,
          body,
          timeoutMs,
          deadlineMs: 1500,
        });
        answers.push({ ...answer, host: host.name });
        record(
          `caller of ${host.name}: ${answer.id} ${answer.status} after ${answer.ms} ms ${answer.error ?? ''}`,
        );
        await sleep(pauseMs);
      }
    }),
  );
  return async () => {
    isStopped = true;
    await Promise.all(loops);
    return answers;
  };
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, run) {
  const record = openRecord(folder);
  try {
    const { isBroken, summary } = await run(record);
    record(`result: ${isBroken ? 'rule broken' : 'rule held'}; ${summary}`);
    console.log(`${isBroken ? 'rule broken' : 'rule held'}; ${summary}`);
    process.exit(isBroken ? 1 : 0);
  } catch (error) {
    record(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
    process.exit(2);
  }
}

/** The names of the hosts whose processes ended by themselves three times or more. */
export const listFallen = (hosts) => hosts.filter(({ ends }) => ends.length >= 3).map(({ name }) => name);
