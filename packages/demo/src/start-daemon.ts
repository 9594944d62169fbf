import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { Daemon } from './daemon.js';
import { COMMAND_LINE } from './command-line.js';

const DEMO_SECRET = 'demo-mesh-secret-not-for-production';

/** Starts `laburnumshift serve` with settings written to `directory`; resolves when the daemon listens. */
export async function startDaemon(
  directory: string,
  host: string,
  failureDomain: string,
  platformUrl: string,
): Promise<Daemon> {
  const settings = {
    host,
    failureDomain,
    callers: '127.0.0.1:0',
    operators: '127.0.0.1:0',
    mesh: '127.0.0.1:0',
    platformUrl,
    meshSecret: DEMO_SECRET,
    shutdown: { balancerDelayMs: 200 },
    log: { level: 'warn' },
  };
  const file = join(directory, `${host}.jsonc`);
  await writeFile(file, `// Settings of one demo daemon.\n${JSON.stringify(settings, null, 2)}\n`);
  const child = spawn(process.execPath, [COMMAND_LINE, 'serve', '--settings', file], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit') as Promise<[number | null]>;
  for await (const line of createInterface({ input: child.stdout })) {
    if (!line.includes('"meshAddress"')) continue;
    const ready = JSON.parse(line) as Pick<Daemon, 'callersUrl' | 'operatorsUrl' | 'meshAddress'>;
    child.stdout.resume();
    return {
      host,
      failureDomain,
      callersUrl: ready.callersUrl,
      operatorsUrl: ready.operatorsUrl,
      meshAddress: ready.meshAddress,
      stop: async (signal) => {
        child.kill(signal);
        const [code] = await exited;
        return code;
      },
    };
  }
  throw new Error(`${host} did not start`);
}
