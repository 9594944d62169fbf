import type net from 'node:net';

/** Connections of callers that have had a request. */
export interface KeptConnections {
  /** Counts a request on a connection until the returned function is called. */
  readonly beginRequest: (socket: net.Socket) => () => void;
  /** Returns the number of requests on a connection; pipelined ones come before the answers of earlier ones. */
  readonly countRequests: (socket: net.Socket) => number;
  /** Closes the connections that have neither had a request nor received a byte for `minIdleMs`. */
  readonly closeIdle: (minIdleMs: number) => void;
}
