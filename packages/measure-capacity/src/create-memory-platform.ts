import type { PlatformClient, PlatformObject } from '@laburnumshift/types';

/** Creates a platform client over a map, so that only the caller's own work is measured. */
export function createMemoryPlatform(): PlatformClient {
  const objects = new Map<string, PlatformObject>();
  const getKey = (kind: string, name: string): string => `${kind}/${name}`;
  const readObject = (kind: string, name: string): Promise<unknown> => {
    const object = objects.get(getKey(kind, name));
    return Promise.resolve(object === undefined ? { kind: 'absent' } : { kind: 'found', object });
  };
  return {
    readObject: readObject as PlatformClient['readObject'],
    writeObject: (kind, name, value, ifVersion) => {
      const version = objects.get(getKey(kind, name))?.version ?? 0;
      if (version !== ifVersion) return Promise.resolve({ kind: 'conflict', version });
      objects.set(getKey(kind, name), { kind, name, version: version + 1, value });
      return Promise.resolve({ kind: 'written', version: version + 1 });
    },
    deleteObject: (kind, name) => {
      objects.delete(getKey(kind, name));
      return Promise.resolve({ kind: 'written', version: 0 });
    },
    listObjects: () => Promise.resolve({ kind: 'unavailable', detail: 'not part of the measurement' }),
    watchObjects: () => () => undefined,
    listHosts: () => Promise.resolve(undefined),
    getSilenceMs: () => 0,
    getCounts: () => ({}),
    close: () => undefined,
  };
}
