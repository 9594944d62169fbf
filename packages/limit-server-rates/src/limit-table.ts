import type { LimitedServer } from './limited-server.js';
import type { LimitStatement } from './limit-statement.js';

/** The newest statement of each server. */
export interface LimitTable {
  /** Adds a statement unless a newer one, or one of a later process of the server, is known; returns whether it changed the limit. */
  readonly addStatement: (statement: LimitStatement) => boolean;
  /** Returns the limit in force at a server, calls a second; `undefined` for none. */
  readonly getLimit: (server: Pick<LimitedServer, 'id' | 'bornMs'>) => number | undefined;
  /** Lists the statements made within the last `maxAgeMs` of limits that changed within `maxChangeAgeMs`, the newest first. */
  readonly listRecent: (maxAgeMs: number, maxChangeAgeMs: number) => readonly LimitStatement[];
  /** Lists the services of the servers with a limit in force. */
  readonly listLimitedServices: () => readonly string[];
  readonly removeServer: (id: string) => void;
  /** Number of servers with a limit in force. */
  readonly countLimited: () => number;
}
