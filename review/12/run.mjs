import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { keepRunning, listFallen, runCase, sleep, startCallers, startCell, TROUBLE } from '../lib-3/cell.mjs';
import { Engine } from '../lib-3/engine.mjs';

/** `value-bytes` of the settings: the largest object that the store keeps. */
const VALUE_BYTES = 1_048_576;
const DURATION_MS = 20_000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (record) => {
  const servers = [new Engine('i-1', { service: 'kafi81c' }), new Engine('i-2', { service: 'kafi81c' })];
  const cell = await startCell({ servers, hosts: 3 });
  const { hosts, store } = cell;
  const stopRestarts = keepRunning(hosts, record);
  const stopCallers = startCallers(hosts, record);
  await sleep(3000);
  const writtenAt = Date.now();
  if (TROUBLE) {
    // An entry of another writer, one of whose fields is of another type.
    const spec = {
      service: 'kafi81c',
      address: '127.0.0.1:9',
      zone: 'z1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      sequence: 1,
    };
    const numbers = Array.from({ length: 520_000 }, (_, index) => index % 10);
    const entry = { ...spec, models: numbers };
    const bytes = JSON.stringify(entry).length;
    if (bytes > VALUE_BYTES) throw new Error('the entry is too large for the store');
    store.write('servers', 'other-writer', entry);
    record(`other writer: wrote servers/other-writer, ${bytes} bytes; its models are numbers`);
  }
  await sleep(DURATION_MS);
  const answers = await stopCallers();
  await stopRestarts();
  const after = answers.filter(({ sentAt }) => sentAt > writtenAt + 3000);
  const served = after.filter(({ status }) => status === 200).length;
  const ends = hosts.map(({ name, ends: { length } }) => `${name} ${length}`).join(', ');
  await cell.stop();
  return {
    isBroken: listFallen(hosts).length >= 2,
    summary: `ends of processes: ${ends}; from 3 s after the write on ${served} of ${after.length} requests of ordinary callers were served`,
  };
});
