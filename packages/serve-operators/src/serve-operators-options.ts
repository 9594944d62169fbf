import type { OperatorHandlers } from './operator-handlers.js';

/** Settings of the operator server. */
export interface ServeOperatorsOptions {
  /** `IP:port`; port 0 takes a free one. */
  readonly listen: string;
  /** Bearer token; without one only loopback callers are served. */
  readonly token?: string | undefined;
  readonly handlers: OperatorHandlers;
}
