import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { findFreePort, waitFor } from '@laburnumshift/test-utils';
import test from 'ava';

const PROGRAM = new URL('../../bin/laburnumshift.js', import.meta.url).pathname;

const startNode = (file: string) => {
  const child = spawn(process.execPath, [PROGRAM, 'serve', '--settings', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const node = { child, output: '', exited: once(child, 'exit') as Promise<[number | null]> };
  const keepOutput = (bytes: Buffer): void => {
    node.output += bytes.toString();
  };
  child.stdout.on('data', keepOutput);
  child.stderr.on('data', keepOutput);
  return node;
};

test('guards against a node that does not start because the process before it still drains', async (t) => {
  const file = path.join(await mkdtemp(path.join(os.tmpdir(), 'serve-starts-')), 'node.jsonc');
  const first = await findFreePort(3);
  const [callers, operators, mesh] = [0, 1, 2].map((index) => `127.0.0.1:${String(first + index)}`);
  const settings = {
    host: 'entry-1',
    failureDomain: 'domain-1',
    callers,
    operators,
    mesh,
    platformUrl: 'http://127.0.0.1:1',
    meshSecret: 'mesh-secret-of-a-test-and-not-more',
    shutdown: { balancerDelayMs: 1500 },
  };
  await writeFile(file, JSON.stringify(settings));
  const before = startNode(file);
  t.teardown(() => before.child.kill('SIGKILL'));
  await waitFor('the first node', () => before.output.includes('"meshAddress"'));
  before.child.kill('SIGTERM');
  await waitFor('the drain', () => before.output.includes('draining'));
  const after = startNode(file);
  t.teardown(() => after.child.kill('SIGKILL'));
  await waitFor(
    'the second node',
    () => after.output.includes('"meshAddress"') || after.child.exitCode !== null,
  );
  t.is(after.child.exitCode, null, after.output);
  t.deepEqual((await before.exited)[0], 0);
  after.child.kill('SIGTERM');
  t.deepEqual((await after.exited)[0], 0);
});

test('guards against a node that stays alive, or ignores signals, as its start ends without serving', async (t) => {
  const file = path.join(await mkdtemp(path.join(os.tmpdir(), 'serve-starts-')), 'node.jsonc');
  const first = await findFreePort(3);
  const blocker = net.createServer();
  await new Promise<void>((resolve) => blocker.listen(first, '127.0.0.1', resolve));
  const [callers, operators, mesh] = [0, 1, 2].map((index) => `127.0.0.1:${String(first + index)}`);
  const settings = { host: 'entry-1', failureDomain: 'domain-1', callers, operators, mesh };
  const secret = 'mesh-secret-of-a-test-and-not-more';
  await writeFile(
    file,
    JSON.stringify({ ...settings, platformUrl: 'http://127.0.0.1:1', meshSecret: secret }),
  );
  const node = startNode(file);
  t.teardown(() => {
    node.child.kill('SIGKILL');
    blocker.close();
  });
  await waitFor('the wait for the address', () => node.output.includes('in use'));
  node.child.kill('SIGTERM');
  t.deepEqual((await node.exited)[0], 0);
});
