import type { OperatorHandlers } from './operator-handlers.js';

/** Options of `serveOperators`. */
export interface ServeOperatorsOptions {
  /** Listen address as `IP:port`, with an IPv6 address in brackets. Port 0 selects a free port. */
  readonly listen: string;
  /** Required bearer token. If it is not set, only requests from loopback addresses are accepted. */
  readonly token?: string | undefined;
  readonly handlers: OperatorHandlers;
}
