import { computeElapsedMs, type Moment } from '@laburnumshift/clock';
import type { StoredObject } from '@laburnumshift/forward-types';
import type { ChangeHistory } from './change-history.js';

/** Maximum number of removed objects kept, about 1 kB each: the removals of several minutes in a large fleet. */
const MAX_REMOVED = 1000;

/** Creates an empty history for the copy `objects`, which the caller keeps up to date. */
export function createChangeHistory(objects: ReadonlyMap<string, StoredObject>): ChangeHistory {
  /** Removed objects, each with the revision of its removal, oldest removal first. */
  const removedObjects = new Map<string, StoredObject>();
  /** For each changed object, a time before which its last change was not made. */
  const changedSince = new Map<string, Moment>();
  /** All removals after this revision are known. */
  let oldestKnownRevision: number | undefined;
  /** Revision of the newest change. */
  let newestRevision = 0;
  /** Last revision before each restore of the store and first one after it; other copies may have seen more between them. */
  const restores: { readonly before: number; readonly after: number }[] = [];

  const recordRemoval = (object: StoredObject, revision: number): void => {
    removedObjects.delete(object.name);
    removedObjects.set(object.name, { ...object, revision });
    newestRevision = Math.max(newestRevision, revision);
    const [oldest] = removedObjects.size > MAX_REMOVED ? removedObjects.values() : [];
    if (oldest === undefined) return;
    removedObjects.delete(oldest.name);
    changedSince.delete(oldest.name);
    oldestKnownRevision = Math.max(oldestKnownRevision ?? 0, oldest.revision);
  };
  const recordUpdate = ({ name, revision }: StoredObject): void => {
    removedObjects.delete(name);
    newestRevision = Math.max(newestRevision, revision);
  };

  return {
    addChanges: (changes, since) => {
      for (const { isRemoved, object } of changes) {
        changedSince.set(object.name, since);
        if (isRemoved) recordRemoval(object, object.revision);
        else recordUpdate(object);
      }
    },
    addListDifferences: (changes, revision, since) => {
      for (const { isRemoved, object } of changes) {
        changedSince.set(object.name, since);
        // A list does not show the revision of a removal, only that it is not later than that of the list.
        if (isRemoved) recordRemoval(object, revision);
        else recordUpdate(object);
      }
      oldestKnownRevision ??= revision;
    },
    addRestore: (before, after) => {
      restores.push({ before, after });
      // Copies that know other changes of the earlier era have to ask, so that they list again.
      newestRevision = Math.max(newestRevision, after);
    },
    getRemoved: (name) => removedObjects.get(name),
    // Removals before the first list are not known, so a copy older than that list may still hold removed objects.
    getNewestRevision: () =>
      oldestKnownRevision === undefined ? undefined : Math.max(newestRevision, oldestKnownRevision),
    readSince: (after) => {
      if (oldestKnownRevision === undefined || (after > 0 && after < oldestKnownRevision)) return undefined;
      if (restores.some((restore) => after > restore.before && after < restore.after)) return undefined;
      if (after === 0)
        return {
          changes: [...objects.values()].map((object) => ({ isRemoved: false, object })),
          changedMs: 0,
        };
      if (after >= newestRevision) return { changes: [], changedMs: 0 };
      const updated = [...objects.values()].filter(({ revision }) => revision > after);
      const removedAfter = [...removedObjects.values()].filter(({ revision }) => revision > after);
      const ages = [...updated, ...removedAfter].map(({ name }) => {
        const since = changedSince.get(name);
        return since === undefined ? 0 : computeElapsedMs(since);
      });
      return {
        changes: [
          ...removedAfter.map((object) => ({ isRemoved: true, object })),
          ...updated.map((object) => ({ isRemoved: false, object })),
        ],
        changedMs: Math.max(0, ...ages),
      };
    },
  };
}
