/** A small deployment of stand-ins: a store with a configuration, engines and plain servers. */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { startStore } from './store.mjs';
import { startServer } from './server.mjs';

export const MODEL = 'model-a';
export const PROMPT = {
  Model: MODEL,
  'Token-Counts': '900,58',
  'Prompt-Prefix': 'aa11:500,bb22:300,cc33:100',
};

/** Builds a configuration like that of the site that the cases name. */
export function buildConfig(version, { tenants = [{ name: 'anna', 'api-keys': ['key-anna'] }] } = {}) {
  const route = { host: 'shop.example', public: false };
  const stream = { ...route, kind: 'streaming', service: 'models', sticky: true, 'target-gap-ms': 300 };
  const plain = { ...route, service: 'desk', 'timeout-ms': 800, 'target-latency-ms': 100, priority: 2 };
  return {
    version,
    routes: [
      {
        ...stream,
        name: 'guest-answer',
        'path-prefix': '/guest/',
        'timeout-ms': 15000,
        'target-latency-ms': 800,
        priority: 0,
        'max-attempts': 1,
        resumable: false,
      },
      {
        ...stream,
        name: 'review-tag',
        'path-prefix': '/review/',
        'timeout-ms': 3000,
        'target-latency-ms': 1200,
        priority: 1,
        'max-attempts': 2,
        resumable: true,
      },
      {
        ...stream,
        name: 'lore-script',
        'path-prefix': '/lore/',
        'timeout-ms': 15000,
        'target-latency-ms': 1000,
        priority: 2,
        'max-attempts': 2,
        resumable: true,
      },
      {
        ...plain,
        name: 'seat-book',
        'path-prefix': '/book/',
        kind: 'non_idempotent',
        'max-attempts': 1,
      },
      { ...plain, name: 'seat-check', 'path-prefix': '/check/', kind: 'idempotent', 'max-attempts': 2 },
    ],
    services: [
      {
        name: 'models',
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
          models: [{ name: MODEL }],
        },
      },
      { name: 'desk', 'health-path': '/healthz', 'max-connections': 96, protocol: 'h1', tls: false },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
    tenants,
  };
}

/**
 * Runs a case: `play` gets the deployment and returns `{ broken, why }`. Writes the record, ends all processes, and exits with 1 if the
 * rule was broken, 0 if it held, 2 if the case could not run.
 */
export async function runCase(caseUrl, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const recordFile = new URL('record.txt', caseUrl).pathname;
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const startedMs = Date.now();
  const lines = [];
  const record = (text) => {
    lines.push(`${((Date.now() - startedMs) / 1000).toFixed(3).padStart(8)} s  ${text}`);
  };
  const stoppers = [() => fs.rmSync(folder, { recursive: true, force: true })];
  let code = 2;
  const finish = (exitCode) => {
    for (const stop of stoppers) stop();
    fs.writeFileSync(recordFile, `${lines.join('\n')}\n`);
    console.log(lines.at(-1));
    process.exit(exitCode);
  };
  for (const kind of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT'])
    process.on(kind, (error) => {
      record(`the case could not run: ${error?.stack ?? error}`);
      finish(2);
    });
  record(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  try {
    const store = await startStore();
    stoppers.unshift(store.stop);
    const addServer = async (service, zone, options) => {
      const server = await startServer(options);
      stoppers.unshift(server.stop);
      store.put('servers', server.id, { spec: server.entry(service, zone) });
      return server;
    };
    const { broken, why } = await play({
      hasTrouble,
      record,
      folder,
      store,
      addServer,
      addStopper: (stop) => stoppers.unshift(stop),
    });
    record(broken ? `RULE BROKEN: ${why}` : `rule held: ${why}`);
    code = broken ? 1 : 0;
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  finish(code);
}
