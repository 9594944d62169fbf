import type { PlatformEvent, PlatformObject } from '@laburnumshift/types';

/** An object with the id of the change that wrote it. */
interface StoredObject extends PlatformObject {
  readonly changeId: string;
}

/** Versioned objects with a bounded history of changes for each kind. */
export interface ObjectStore {
  readonly getRevision: () => number;
  readonly getObject: (kind: string, name: string) => StoredObject | undefined;
  /** Objects of a kind whose names have the prefix and come after `after`, sorted by name. */
  readonly listObjects: (kind: string, prefix: string, after: string) => readonly StoredObject[];
  /** Changes an object; a value of `undefined` deletes it. Without `ifVersion` any version matches. */
  readonly changeObject: (
    kind: string,
    name: string,
    ifVersion: number | undefined,
    changeId: string,
    value: unknown,
  ) => { readonly kind: 'changed' | 'conflict'; readonly version: number };
  /** Changes of a kind after a revision; `undefined` when the history no longer reaches back so far. */
  readonly listChanges: (kind: string, since: number) => readonly PlatformEvent[] | undefined;
  /** Resolves at the next change of the kind or when the signal aborts. */
  readonly waitForChange: (kind: string, signal: AbortSignal) => Promise<void>;
}
