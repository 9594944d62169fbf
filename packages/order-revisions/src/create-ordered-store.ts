import { computeMinElapsedMs, readMoment, type Moment } from '@laburnumshift/clock';
import type { ListOutcome, StoredObject, WatchOutcome } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import type { WriteResult } from '@laburnumshift/types';
import { joinRevision } from './join-revision.js';
import type { ObjectStore } from './object-store.js';
import type { OrderedStore } from './ordered-store.js';
import { splitRevision } from './split-revision.js';
import type { StoreAnswer } from './store-answer.js';

const RESTORED_REASON = 'the answer is older than the last restore of the store';

/**
 * Wraps a client of the store so that its revisions and versions keep their order when the store is restored from a copy.
 *
 * @param isFirstStart whether the whole fleet starts for the first time, so that no host wrote anything before the first answer
 */
export function createOrderedStore(store: ObjectStore, isFirstStart = false): OrderedStore {
  const logger = createLogger('store');
  let newestEra = 0;
  let hasEra = false;
  let newestSince: Moment | undefined;
  /** End the pending watches of earlier eras. */
  const watchEnders = new Set<() => void>();
  const restoreHandlers: (() => void)[] = [];

  /** Returns the era of an answer. An answer without one is taken to be of the newest era. */
  const observeEra = ({ era: stated }: StoreAnswer<unknown>): number => {
    const era = stated ?? newestEra;
    if (stated === undefined || (hasEra && era <= newestEra)) return era;
    const isRestored = hasEra;
    hasEra = true;
    if (isRestored) logger.warn('store was restored from a copy', { era, before: newestEra });
    newestEra = era;
    if (isRestored || !isFirstStart) newestSince = readMoment();
    for (const finishWatch of watchEnders) finishWatch();
    if (isRestored) for (const handler of restoreHandlers) handler();
    return era;
  };
  const orderObject = (object: StoredObject, era: number): StoredObject => ({
    ...object,
    revision: joinRevision({ era, revision: object.revision }),
  });
  /** Makes a watch, which ends when another answer states a newer era: its connection may stay silent for long. */
  const watchUntilRestore = (
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<StoreAnswer<WatchOutcome>> =>
    new Promise((resolve) => {
      const finishWatch = (): void => {
        watchEnders.delete(finishWatch);
        resolve({ era: undefined, result: { kind: 'compacted', isLocal: true } });
      };
      watchEnders.add(finishWatch);
      void store.watchChanges(kind, revision, waitMs).then((answer) => {
        watchEnders.delete(finishWatch);
        resolve(answer);
      });
    });
  const listObjects = async (kind: string, isStaleAllowed?: boolean): Promise<ListOutcome> => {
    const answer = await store.listObjects(kind, isStaleAllowed);
    const era = observeEra(answer);
    const { result } = answer;
    if (result.kind === 'unavailable') return result;
    if (era < newestEra) return { kind: 'unavailable', reason: RESTORED_REASON };
    const objects = result.objects.map((object) => orderObject(object, era));
    return { ...result, objects, revision: joinRevision({ era, revision: result.revision }) };
  };
  const watchChanges = async (kind: string, after: number, waitMs: number): Promise<WatchOutcome> => {
    const from = splitRevision(after);
    if (from.era < newestEra) return { kind: 'compacted', isLocal: true };
    const answer = await watchUntilRestore(kind, from.revision, waitMs);
    const era = observeEra(answer);
    const { result } = answer;
    if (result.kind !== 'changes') return result;
    if (era !== from.era) return { kind: 'compacted' };
    const changes = result.changes.map(({ isRemoved, object }) => ({
      isRemoved,
      object: orderObject(object, era),
    }));
    return { ...result, changes, revision: joinRevision({ era, revision: result.revision }) };
  };
  const orderWritten = (result: WriteResult, era: number): WriteResult =>
    'version' in result ? { ...result, version: joinRevision({ era, revision: result.version }) } : result;

  const watchRestores = (handler: () => void): void => {
    restoreHandlers.push(handler);
  };

  return {
    source: {
      watchRestores,
      listObjects,
      watchChanges,
      writeStatus: async (kind, name, status) => {
        const answer = await store.writeStatus(kind, name, status);
        observeEra(answer);
        return answer.result;
      },
    },
    leases: {
      readObject: async (kind, name) => {
        const answer = await store.readObject(kind, name);
        const era = observeEra(answer);
        const { result } = answer;
        if (era < newestEra) return { kind: 'unavailable', detail: RESTORED_REASON };
        if (result.kind !== 'found') return result;
        const version = joinRevision({ era, revision: result.object.version });
        return { kind: 'found', object: { ...result.object, version } } as never;
      },
      writeObject: async (kind, name, value, ifVersion) => {
        const from = splitRevision(ifVersion);
        const isConditional = ifVersion > 0;
        // The revision may have been given out again, so the store would check the condition against another state.
        if (isConditional && from.era < newestEra) return { kind: 'conflict', version: 0 };
        const sentEra = isConditional ? from.era : newestEra;
        const hadEra = hasEra;
        const answer = await store.writeObject(kind, name, value, from.revision);
        const era = observeEra(answer);
        // What the caller read before the write may not hold any more; that also holds for an object that was absent.
        const isRestored = era !== sentEra && (isConditional || hadEra);
        if (isRestored && answer.result.kind === 'written')
          return { kind: 'unknown', detail: 'the store was restored before the write' };
        return orderWritten(answer.result, era);
      },
    },
    era: {
      getEra: () => newestEra,
      getAgeMs: () => (newestSince === undefined ? Infinity : computeMinElapsedMs(newestSince)),
      watchRestores,
    },
  };
}
