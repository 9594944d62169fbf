import { fork } from 'node:child_process';
import { once } from 'node:events';
import type { NodeSettings } from '@laburnumshift/types';
import type { NodeProcess } from './node-process.js';

/** Starts a node in a process of its own, so that its memory and time can be told from those of the fakes. */
export async function startNodeProcess(settings: NodeSettings): Promise<NodeProcess> {
  const child = fork(new URL('./node-process-main.js', import.meta.url), { execArgv: ['--expose-gc'] });
  const ask = async (message: object): Promise<unknown> => {
    const answer = once(child, 'message');
    child.send(message);
    const [reply] = (await answer) as [unknown];
    return reply;
  };
  const started = (await ask(settings)) as Pick<NodeProcess, 'meshAddress' | 'operatorsUrl'>;
  return {
    ...started,
    readUse: () => ask({}) as ReturnType<NodeProcess['readUse']>,
    stop: () => {
      child.disconnect();
    },
  };
}
