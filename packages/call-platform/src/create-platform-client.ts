import type { PlatformClient, ReadResult } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import { updateObject } from './update-object.js';
import { createKindWatch } from './create-kind-watch.js';
import { createTransport } from './create-transport.js';
import { encodePath } from './encode-path.js';
import { fetchAnswer } from './fetch-answer.js';
import { listKind } from './list-kind.js';
import type { PlatformClientOptions } from './platform-client-options.js';
import { readStored } from './read-stored.js';

const DEFAULT_WATCH_MS = 25_000;

/**
 * Creates the platform client of one node. It never rejects. Calls wait for a token of the node's budget, the class with
 * the highest priority first, and are retried with jittered backoff until their deadline.
 */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const transport = createTransport(options);
  const watches = new Map<string, ReturnType<typeof createKindWatch>>();

  return {
    readObject: async <T>(...[kind, name, callClass]: Parameters<PlatformClient['readObject']>) => {
      const deadlineAt = transport.computeDeadline();
      const result = await readStored(transport, kind, name, callClass, deadlineAt);
      // Values are opaque to this client; each caller checks the shape of its own kind.
      return (result.kind === 'found' ? { kind: 'found', object: result.object } : result) as ReadResult<T>;
    },
    writeObject: (kind, name, value, ifVersion, changeId, callClass) => {
      const call = {
        method: 'PUT',
        path: encodePath('objects', kind, name),
        body: { ifVersion, changeId, value },
      } as const;
      return updateObject(transport, {
        send: (deadlineAt) => transport.sendCall(call, callClass, deadlineAt),
        readBack: async (deadlineAt) => {
          const seen = await readStored(transport, kind, name, callClass, deadlineAt);
          if (seen.kind === 'unavailable') return { kind: 'unreadable' };
          const version = seen.kind === 'found' ? seen.object.version : 0;
          if (seen.kind === 'found' && seen.changeId === changeId) return { kind: 'applied', version };
          return { kind: version === ifVersion ? 'not-applied' : 'superseded' };
        },
      });
    },
    deleteObject: (kind, name, ifVersion, callClass) => {
      const path = `${encodePath('objects', kind, name)}?ifVersion=${String(ifVersion)}`;
      return updateObject(transport, {
        send: (deadlineAt) => transport.sendCall({ method: 'DELETE', path }, callClass, deadlineAt),
        readBack: async (deadlineAt) => {
          const seen = await readStored(transport, kind, name, callClass, deadlineAt);
          if (seen.kind === 'unavailable') return { kind: 'unreadable' };
          if (seen.kind === 'absent') return { kind: 'applied', version: 0 };
          return { kind: seen.object.version === ifVersion ? 'not-applied' : 'superseded' };
        },
      });
    },
    listObjects: async (kind, prefix, callClass) =>
      (await listKind(transport, kind, prefix, callClass)) as never,
    watchObjects: (kind, handler) => {
      const watch =
        watches.get(kind) ?? createKindWatch(transport, kind, options.watchMs ?? DEFAULT_WATCH_MS);
      watches.set(kind, watch);
      return watch.addHandler(handler);
    },
    listHosts: async () => {
      const deadlineAt = transport.computeDeadline();
      const result = await fetchAnswer(transport, '/hosts', ANSWER_SCHEMAS.hosts, 'status', deadlineAt);
      return result.kind === 'fetched' ? result.body.hosts : undefined;
    },
    getSilenceMs: transport.getSilenceMs,
    getCounts: transport.getCounts,
    close: transport.close,
  };
}
