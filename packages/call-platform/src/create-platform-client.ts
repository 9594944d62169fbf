import type { PlatformClient, ReadResult } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import { updateObject } from './update-object.js';
import { createKindWatch } from './create-kind-watch.js';
import { createTransport } from './create-transport.js';
import { encodePath } from './encode-path.js';
import { fetchWithRetries } from './fetch-with-retries.js';
import { listAllPages } from './list-all-pages.js';
import type { PlatformClientOptions } from './platform-client-options.js';
import { readStoredObject } from './read-stored-object.js';

const DEFAULT_LONG_POLL_MS = 25_000;

/**
 * Creates the platform client of one node. Its promises never reject. Each attempt waits for a token of the node's rate
 * limiter, the most urgent class first. Calls are retried with jittered backoff until their deadline.
 */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const transport = createTransport(options);
  const watches = new Map<string, ReturnType<typeof createKindWatch>>();

  return {
    readObject: async <T>(...[kind, name, callClass]: Parameters<PlatformClient['readObject']>) => {
      const deadlineAt = transport.computeDeadline();
      const result = await readStoredObject(transport, kind, name, callClass, deadlineAt);
      // This client does not validate values; each caller validates the objects of its kind.
      return (result.kind === 'found' ? { kind: 'found', object: result.object } : result) as ReadResult<T>;
    },
    writeObject: (kind, name, value, ifVersion, changeId, callClass) => {
      const call = {
        method: 'PUT',
        path: encodePath('objects', kind, name),
        body: { ifVersion, changeId, value },
      } as const;
      return updateObject(transport, {
        send: (deadlineAt) => transport.sendAttempt(call, callClass, deadlineAt),
        readBack: async (deadlineAt) => {
          const stored = await readStoredObject(transport, kind, name, callClass, deadlineAt);
          if (stored.kind === 'unavailable') return { kind: 'unreadable' };
          const version = stored.kind === 'found' ? stored.object.version : 0;
          if (stored.kind === 'found' && stored.changeId === changeId) return { kind: 'applied', version };
          return { kind: version === ifVersion ? 'not-applied' : 'superseded' };
        },
      });
    },
    deleteObject: (kind, name, ifVersion, callClass) => {
      const path = `${encodePath('objects', kind, name)}?ifVersion=${String(ifVersion)}`;
      return updateObject(transport, {
        send: (deadlineAt) => transport.sendAttempt({ method: 'DELETE', path }, callClass, deadlineAt),
        readBack: async (deadlineAt) => {
          const stored = await readStoredObject(transport, kind, name, callClass, deadlineAt);
          if (stored.kind === 'unavailable') return { kind: 'unreadable' };
          if (stored.kind === 'absent') return { kind: 'applied', version: 0 };
          return { kind: stored.object.version === ifVersion ? 'not-applied' : 'superseded' };
        },
      });
    },
    listObjects: async (kind, prefix, callClass) =>
      (await listAllPages(transport, kind, prefix, callClass)) as never,
    watchObjects: (kind, handler) => {
      const watch =
        watches.get(kind) ?? createKindWatch(transport, kind, options.longPollMs ?? DEFAULT_LONG_POLL_MS);
      watches.set(kind, watch);
      return watch.addHandler(handler);
    },
    listHosts: async () => {
      const deadlineAt = transport.computeDeadline();
      const result = await fetchWithRetries(transport, '/hosts', ANSWER_SCHEMAS.hosts, 'status', deadlineAt);
      return result.kind === 'fetched' ? result.body.hosts : undefined;
    },
    getSilenceMs: transport.getSilenceMs,
    getCounts: transport.getCounts,
    close: transport.close,
  };
}
