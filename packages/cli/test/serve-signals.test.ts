import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';

const PROGRAM = new URL('../../bin/laburnumshift.js', import.meta.url).pathname;
const SETTINGS = {
  host: 'entry-1',
  failureDomain: 'domain-1',
  callers: '127.0.0.1:0',
  operators: '127.0.0.1:0',
  mesh: '127.0.0.1:0',
  platformUrl: 'http://127.0.0.1:1',
  meshSecret: 'mesh-secret-of-a-test-and-not-more',
  shutdown: { balancerDelayMs: 1000 },
};

for (const second of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const)
  test(`guards against a node whose drain is cut short by ${second} after SIGTERM`, async (t) => {
    const file = path.join(await mkdtemp(path.join(os.tmpdir(), 'serve-signals-')), 'node.jsonc');
    await writeFile(file, JSON.stringify(SETTINGS));
    const child = spawn(process.execPath, [PROGRAM, 'serve', '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    t.teardown(() => child.kill('SIGKILL'));
    const exited = once(child, 'exit');
    const nextSignals = new Map<string, NodeJS.Signals>([
      ['"meshAddress"', 'SIGTERM'],
      ['draining', second],
    ]);
    const seen = { output: '' };
    const sendNext = (bytes: Buffer): void => {
      seen.output += bytes.toString();
      for (const [text, signal] of nextSignals)
        if (seen.output.includes(text)) {
          nextSignals.delete(text);
          child.kill(signal);
        }
    };
    child.stdout.on('data', sendNext);
    child.stderr.on('data', sendNext);
    const [code, signal] = (await exited) as [number | null, string | null];
    t.deepEqual(
      { code, signal, waiting: nextSignals.size },
      { code: 0, signal: null, waiting: 0 },
      seen.output,
    );
  });
