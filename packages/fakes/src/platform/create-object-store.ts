import type { PlatformEvent } from '@laburnumshift/types';
import type { ObjectStore } from './object-store.js';

type StoredObject = NonNullable<ReturnType<ObjectStore['getObject']>>;

interface KindState {
  readonly objects: Map<string, StoredObject>;
  history: PlatformEvent[];
  /** Highest revision that was dropped from the history. */
  dropped: number;
  readonly waiting: Set<() => void>;
}

/**
 * Creates an empty store. An object's version is the store's revision at its last change, so a version never repeats,
 * not even when an object is deleted and created again.
 */
export function createObjectStore(historyLimit: number): ObjectStore {
  const kinds = new Map<string, KindState>();
  let revision = 0;

  const getKind = (kind: string): KindState => {
    const known = kinds.get(kind);
    if (known !== undefined) return known;
    const created = {
      objects: new Map<string, StoredObject>(),
      history: [],
      dropped: 0,
      waiting: new Set<() => void>(),
    };
    kinds.set(kind, created);
    return created;
  };

  const recordEvent = (state: KindState, event: PlatformEvent): void => {
    state.history.push(event);
    const excess = state.history.length - historyLimit;
    if (excess > 0) {
      state.dropped = state.history[excess - 1]?.version ?? state.dropped;
      state.history = state.history.slice(excess);
    }
    const waiting = [...state.waiting];
    state.waiting.clear();
    for (const notify of waiting) notify();
  };

  return {
    getRevision: () => revision,
    getObject: (kind, name) => kinds.get(kind)?.objects.get(name),
    listObjects: (kind, prefix, after) =>
      [...(kinds.get(kind)?.objects.values() ?? [])]
        .filter((object) => object.name.startsWith(prefix) && object.name > after)
        .sort((a, b) => (a.name < b.name ? -1 : 1)),
    changeObject: (kind, name, ifVersion, changeId, value) => {
      const state = getKind(kind);
      const current = state.objects.get(name)?.version ?? 0;
      if (ifVersion !== undefined && ifVersion !== current) return { kind: 'conflict', version: current };
      revision += 1;
      if (value === undefined) state.objects.delete(name);
      else state.objects.set(name, { kind, name, version: revision, value, changeId });
      recordEvent(state, { name, version: revision, value: value ?? null });
      return { kind: 'changed', version: revision };
    },
    listChanges: (kind, since) => {
      const state = getKind(kind);
      if (since < state.dropped) return undefined;
      return state.history.filter((event) => event.version > since);
    },
    waitForChange: (kind, signal) =>
      new Promise((resolve) => {
        const state = getKind(kind);
        const finish = (): void => {
          state.waiting.delete(finish);
          signal.removeEventListener('abort', finish);
          resolve();
        };
        if (signal.aborted) {
          resolve();
          return;
        }
        state.waiting.add(finish);
        signal.addEventListener('abort', finish);
      }),
  };
}
