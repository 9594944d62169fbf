import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { SiteProcess } from './site-process.js';
import type { SiteReport } from './site-report.js';
import type { SiteRequest } from './site-request.js';
import type { SiteStart } from './site-start.js';

/** Reply of the process that runs the fakes. */
interface SiteReply {
  readonly id: number;
  readonly value?: unknown;
  readonly error?: string;
}

/** Starts the process that runs the fakes; it ends with this process. */
export function startSiteProcess(): SiteProcess {
  const child = fork(fileURLToPath(new URL('./fakes-main.js', import.meta.url)));
  const waiting = new Map<number, { resolve: (value: unknown) => void; reject: (error: Error) => void }>();
  let lastId = 0;
  child.on('message', ({ id, value, error }: SiteReply) => {
    const waiter = waiting.get(id);
    waiting.delete(id);
    if (error === undefined) waiter?.resolve(value);
    else waiter?.reject(new Error(error));
  });
  child.on('exit', () => {
    for (const waiter of waiting.values()) waiter.reject(new Error('the fakes stopped'));
  });
  const askSite = (request: SiteRequest): Promise<unknown> =>
    new Promise((resolve, reject) => {
      lastId += 1;
      waiting.set(lastId, { resolve, reject });
      child.send({ id: lastId, request });
    });
  return {
    startSite: (directory, enginePieces) =>
      askSite({ kind: 'start', directory, enginePieces }) as Promise<SiteStart>,
    getReport: () => askSite({ kind: 'get-report' }) as Promise<SiteReport>,
    setState: async (request) => {
      await askSite(request);
    },
    stop: () => {
      child.kill('SIGKILL');
    },
  };
}
