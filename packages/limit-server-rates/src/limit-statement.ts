import type { LimitedServer } from './limited-server.js';

/** What a server said of its limit. */
export interface LimitStatement {
  readonly server: LimitedServer;
  /** Calls a second from all hosts together; `undefined` for no limit. */
  readonly limitPerS: number | undefined;
  /** When it was said at the latest, monotonic milliseconds. */
  readonly atMs: number;
}
