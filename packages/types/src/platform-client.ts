import type { HostEntry } from './host-entry.js';
import type { ListResult } from './list-result.js';
import type { PlatformCallClass } from './platform-call-class.js';
import type { PlatformEvent } from './platform-event.js';
import type { ReadResult } from './read-result.js';
import type { WriteResult } from './write-result.js';

/** Client of the platform's object API. Its promises never reject; failures are returned as results. */
export interface PlatformClient {
  readonly readObject: <T>(
    kind: string,
    name: string,
    callClass: PlatformCallClass,
  ) => Promise<ReadResult<T>>;
  /** Conditional update; `ifVersion` 0 creates. When the answer is lost, the object is read back and its change id compared. */
  readonly writeObject: (
    kind: string,
    name: string,
    value: unknown,
    ifVersion: number,
    changeId: string,
    callClass: PlatformCallClass,
  ) => Promise<WriteResult>;
  readonly deleteObject: (
    kind: string,
    name: string,
    ifVersion: number,
    callClass: PlatformCallClass,
  ) => Promise<WriteResult>;
  /** Lists the objects whose names start with `prefix`; reads all pages. */
  readonly listObjects: <T>(
    kind: string,
    prefix: string,
    callClass: PlatformCallClass,
  ) => Promise<ListResult<T>>;
  /** Calls the handler with each batch of changes until the returned function is called. All watches of a kind share one call. */
  readonly watchObjects: (kind: string, handler: (events: readonly PlatformEvent[]) => void) => () => void;
  /** Reads the host list; `undefined` when it cannot be read. */
  readonly listHosts: () => Promise<readonly HostEntry[] | undefined>;
  /** Milliseconds since the last successful answer. */
  readonly getSilenceMs: () => number;
  /** Number of calls by class and by result, for metrics. */
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}
