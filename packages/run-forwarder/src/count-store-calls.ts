import type { ObjectSource } from '@laburnumshift/forward-types';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { PlatformClient } from '@laburnumshift/types';

type LeaseStore = Pick<PlatformClient, 'readObject' | 'writeObject'>;

/** Wraps the clients of the platform's object store, and counts their calls by call, kind and outcome in `store_calls_total`. */
export function countStoreCalls(
  source: ObjectSource,
  leases: LeaseStore,
  metrics: Pick<Metrics, 'addToCounter'>,
): { readonly source: ObjectSource; readonly leases: LeaseStore } {
  const count = (call: string, kind: string, outcome: string): void => {
    metrics.addToCounter('store_calls_total', { call, kind, outcome });
  };
  return {
    source: {
      ...source,
      listObjects: async (kind, isStaleAllowed) => {
        const outcome = await source.listObjects(kind, isStaleAllowed);
        count(isStaleAllowed === true ? 'list stale' : 'list', kind, outcome.kind);
        return outcome;
      },
      watchChanges: async (kind, revision, waitMs) => {
        const outcome = await source.watchChanges(kind, revision, waitMs);
        count('watch', kind, outcome.kind);
        return outcome;
      },
      writeStatus: async (kind, name, status) => {
        const isWritten = await source.writeStatus(kind, name, status);
        count('write status', kind, isWritten ? 'written' : 'unavailable');
        return isWritten;
      },
    },
    leases: {
      readObject: async (kind, name, callClass) => {
        const result = await leases.readObject(kind, name, callClass);
        count('read', kind, result.kind);
        return result as never;
      },
      writeObject: async (kind, ...rest) => {
        const result = await leases.writeObject(kind, ...rest);
        count('write', kind, result.kind);
        return result;
      },
    },
  };
}
