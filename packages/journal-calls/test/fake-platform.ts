import { sleep } from '@laburnumshift/clock';
import type { PlatformClient, PlatformObject, WriteResult } from '@laburnumshift/types';

/**
 * Fault of a platform call: refused, response lost after or before the update, update applied late, response delayed.
 */
export type Fault = 'none' | 'refused' | 'lost-applied' | 'lost' | 'late' | 'slow';

/** Creates an in-memory platform with versions, conflicts, lost responses, outages and delays. */
export function createFakePlatform(pickFault: () => Fault, pickDelayMs: () => number) {
  const objects = new Map<string, PlatformObject>();
  const counts = { writes: 0, deletes: 0, reads: 0 };

  const applyWrite = (key: string, value: unknown, ifVersion: number): WriteResult => {
    const version = objects.get(key)?.version ?? 0;
    if (version !== ifVersion) return { kind: 'conflict', version };
    if (value === null) objects.delete(key);
    else {
      const [kind = '', name = ''] = key.split('/');
      objects.set(key, { kind, name, version: version + 1, value: structuredClone(value) });
    }
    return { kind: 'written', version: version + 1 };
  };
  const writeValue = async (key: string, value: unknown, ifVersion: number): Promise<WriteResult> => {
    const fault = pickFault();
    const stored = structuredClone(value);
    await sleep(pickDelayMs());
    if (fault === 'refused') return { kind: 'unavailable', detail: 'outage' };
    if (fault === 'late') {
      void sleep(700 + pickDelayMs() * 100).then(() => applyWrite(key, stored, ifVersion));
    }
    const result = fault === 'lost' || fault === 'late' ? undefined : applyWrite(key, stored, ifVersion);
    await sleep(fault === 'slow' ? 1500 : pickDelayMs());
    return result === undefined || fault === 'lost-applied' ? { kind: 'unknown', detail: 'lost' } : result;
  };
  /** Creates the client of one process. After `kill` its calls never return. */
  const createClient = () => {
    const state = { isAlive: true };
    const holdIfKilled = async <T>(run: Promise<T>): Promise<T> => {
      const result = await run;
      return state.isAlive ? result : new Promise<T>(() => undefined);
    };
    const client: PlatformClient = {
      readObject: <T>(kind: string, name: string) => {
        const read = async () => {
          counts.reads += 1;
          const fault = pickFault();
          await sleep(pickDelayMs());
          const object = structuredClone(objects.get(`${kind}/${name}`)) as PlatformObject<T> | undefined;
          await sleep(fault === 'slow' ? 1500 : pickDelayMs());
          if (fault !== 'none' && fault !== 'slow') return { kind: 'unavailable' as const, detail: 'outage' };
          return object === undefined ? { kind: 'absent' as const } : { kind: 'found' as const, object };
        };
        return holdIfKilled(read());
      },
      writeObject: (kind, name, value, ifVersion) => {
        counts.writes += 1;
        return holdIfKilled(writeValue(`${kind}/${name}`, value, ifVersion));
      },
      deleteObject: (kind, name, ifVersion) => {
        counts.deletes += 1;
        return holdIfKilled(writeValue(`${kind}/${name}`, null, ifVersion));
      },
      listObjects: () => Promise.resolve({ kind: 'unavailable', detail: 'not used' }),
      watchObjects: () => () => undefined,
      listHosts: () => Promise.resolve([]),
      getSilenceMs: () => 0,
      getCounts: () => ({}),
      close: () => undefined,
    };
    return {
      client,
      kill: () => {
        state.isAlive = false;
      },
    };
  };
  return { createClient, counts, objects };
}
