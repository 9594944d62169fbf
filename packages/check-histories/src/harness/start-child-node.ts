import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { NodeSettings } from '@laburnumshift/types';
import type { NodeProcess } from './node-process.js';

/** Starts a node in a process of its own; it ends by itself when this process does. */
export async function startChildNode(settings: NodeSettings): Promise<NodeProcess> {
  const child = fork(fileURLToPath(new URL('./node-main.js', import.meta.url)));
  const exited = once(child, 'exit');
  child.send(settings);
  const [ready] = (await Promise.race([
    once(child, 'message'),
    exited.then(() => Promise.reject(new Error(`${settings.host} did not start`))),
  ])) as [Pick<NodeProcess, 'callersUrl' | 'operatorsUrl' | 'meshAddress'>];
  return {
    ...ready,
    stop: async () => {
      child.kill('SIGTERM');
      await exited;
    },
    sendSignal: (signal) => {
      child.kill(signal);
    },
  };
}
