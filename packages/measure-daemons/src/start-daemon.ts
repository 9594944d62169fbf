import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { Daemon } from './daemon.js';

const PROGRAM = fileURLToPath(new URL('./daemon-main.js', import.meta.url));
const MESH_SECRET = 'measure-mesh-secret-not-for-production';
/** Five health checks of the load balancer, which asks every 100 ms. */
const BALANCER_DELAY_MS = 500;

/** Starts a daemon with settings written to `directory`; resolves when it listens. */
export async function startDaemon(
  directory: string,
  host: string,
  failureDomain: string,
  platformUrl: string,
  candidate: string,
): Promise<Daemon> {
  const settings = {
    host,
    failureDomain,
    callers: '127.0.0.1:0',
    operators: '127.0.0.1:0',
    mesh: '127.0.0.1:0',
    platformUrl,
    meshSecret: MESH_SECRET,
    shutdown: { balancerDelayMs: BALANCER_DELAY_MS },
    log: { level: 'error' },
  };
  const file = join(directory, `${host}.jsonc`);
  await writeFile(file, JSON.stringify(settings));
  const child = spawn(process.execPath, [PROGRAM, file, candidate], { stdio: ['ignore', 'pipe', 'inherit'] });
  const exited = once(child, 'exit');
  for await (const line of createInterface({ input: child.stdout })) {
    if (!line.includes('"meshAddress"')) continue;
    const ready = JSON.parse(line) as Pick<Daemon, 'callersUrl' | 'operatorsUrl' | 'meshAddress'>;
    child.stdout.resume();
    return {
      host,
      failureDomain,
      ...ready,
      stop: async (signal) => {
        child.kill(signal);
        await exited;
      },
    };
  }
  throw new Error(`${host} did not start`);
}
