import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { FakesReply } from './fakes-reply.js';
import type { FakesRequest } from './fakes-request.js';

/** The process that runs the fakes. */
interface FakesProcess {
  /** Sends a request; requests are answered one at a time. */
  readonly ask: <K extends FakesReply['kind']>(
    request: FakesRequest,
    kind: K,
  ) => Promise<Extract<FakesReply, { kind: K }>>;
  readonly stop: () => void;
}

/** Starts the process that runs the fakes. */
export function startFakes(): FakesProcess {
  const child = fork(fileURLToPath(new URL('./fakes-main.js', import.meta.url)));
  return {
    ask: async (request, kind) => {
      const answered = Promise.race([
        once(child, 'message'),
        once(child, 'exit').then(() => Promise.reject(new Error('the fakes stopped'))),
      ]);
      child.send(request);
      const [reply] = (await answered) as [FakesReply];
      if (reply.kind !== kind) throw new Error(`unexpected reply ${reply.kind}`);
      return reply as Extract<FakesReply, { kind: typeof kind }>;
    },
    stop: () => {
      child.kill('SIGKILL');
    },
  };
}
