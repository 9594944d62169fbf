import type { ListOutcome, WatchOutcome } from '@laburnumshift/forward-types';
import type { ReadResult, WriteResult } from '@laburnumshift/types';
import type { StoreAnswer } from './store-answer.js';

/** Client of the platform's object store. Revisions are as the store states them. Its promises never reject. */
export interface ObjectStore {
  /**
   * Lists all objects of a kind, over all pages. `revision` is that of the first page, so a watch from there misses no change.
   *
   * @param isStaleAllowed allows an answer that is some seconds old and costs the store less; false by default
   */
  readonly listObjects: (kind: string, isStaleAllowed?: boolean) => Promise<StoreAnswer<ListOutcome>>;
  /** Waits up to `waitMs` milliseconds for changes after a revision. */
  readonly watchChanges: (
    kind: string,
    revision: number,
    waitMs: number,
  ) => Promise<StoreAnswer<WatchOutcome>>;
  /** Writes the status of an object that belongs to another owner; false when that failed or its result is unknown. */
  readonly writeStatus: (kind: string, name: string, status: unknown) => Promise<StoreAnswer<boolean>>;
  readonly readObject: <T>(kind: string, name: string) => Promise<StoreAnswer<ReadResult<T>>>;
  /** Conditional write; `ifVersion` 0 creates. */
  readonly writeObject: (
    kind: string,
    name: string,
    value: unknown,
    ifVersion: number,
  ) => Promise<StoreAnswer<WriteResult>>;
}
