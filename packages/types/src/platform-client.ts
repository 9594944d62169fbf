import type { HostEntry } from './host-entry.js';
import type { ListResult } from './list-result.js';
import type { PlatformClass } from './platform-class.js';
import type { PlatformEvent } from './platform-event.js';
import type { ReadResult } from './read-result.js';
import type { WriteResult } from './write-result.js';

/** The platform's object API as seen by the rest of the system. Never rejects; failures are results. */
export interface PlatformClient {
  readonly readObject: <T>(kind: string, name: string, callClass: PlatformClass) => Promise<ReadResult<T>>;
  /** Conditional update; `ifVersion` 0 creates. Resolves lost answers by reading back the change id. */
  readonly writeObject: (
    kind: string,
    name: string,
    value: unknown,
    ifVersion: number,
    changeId: string,
    callClass: PlatformClass,
  ) => Promise<WriteResult>;
  readonly deleteObject: (
    kind: string,
    name: string,
    ifVersion: number,
    callClass: PlatformClass,
  ) => Promise<WriteResult>;
  /** Reads all pages. */
  readonly listObjects: <T>(kind: string, prefix: string, callClass: PlatformClass) => Promise<ListResult<T>>;
  /** Calls the handler for each change until the returned function is called. One waiting call serves all readers of a kind. */
  readonly watchObjects: (kind: string, handler: (events: readonly PlatformEvent[]) => void) => () => void;
  readonly listHosts: () => Promise<readonly HostEntry[] | undefined>;
  /** Milliseconds since the last successful answer. */
  readonly getSilenceMs: () => number;
  /** Calls made so far, by class and by result, for metrics. */
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}
