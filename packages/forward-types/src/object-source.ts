import type { ListOutcome } from './list-outcome.js';
import type { WatchOutcome } from './watch-outcome.js';

/** Client of the platform's object store. Reads are linearizable unless stated otherwise. Its promises never reject. */
export interface ObjectSource {
  /**
   * Lists all objects of a kind, over all pages. `revision` is that of the first page, so a watch from there misses no change.
   *
   * @param isStaleAllowed allows an answer that is some seconds old and costs the store less; false by default
   */
  readonly listObjects: (kind: string, isStaleAllowed?: boolean) => Promise<ListOutcome>;
  /** Waits up to `waitMs` milliseconds for changes after a revision. */
  readonly watchChanges: (kind: string, revision: number, waitMs: number) => Promise<WatchOutcome>;
  /** Calls the handler when the source learns that the store was restored from a copy, so that pauses after failed calls can end. */
  readonly watchRestores?: (handler: () => void) => void;
  /** Writes the status of an object that belongs to another owner; false when that failed or its result is unknown. */
  readonly writeStatus: (kind: string, name: string, status: unknown) => Promise<boolean>;
}
