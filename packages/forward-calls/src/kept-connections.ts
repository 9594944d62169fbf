import type net from 'node:net';

/** Connections of callers that have had a request. */
export interface KeptConnections {
  /** Counts a request on a connection until the returned function is called. */
  readonly beginRequest: (socket: net.Socket) => () => void;
  /** Closes the connections that have neither had a request nor received a byte for `minIdleMs`. */
  readonly closeIdle: (minIdleMs: number) => void;
}
