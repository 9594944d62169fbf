import type http from 'node:http';
import type net from 'node:net';

/** Connections of callers. */
export interface KeptConnections {
  /** Counts a connection that was opened. */
  readonly recordOpened: () => void;
  /** Returns the number of connections that were ever opened. */
  readonly countOpened: () => number;
  /** Returns the number of open connections that have had a request. */
  readonly countConnections: () => number;
  /** Notes that an answer closes the connection when it ends: later requests on it get no answer. */
  readonly markClosing: (socket: net.Socket) => void;
  readonly isClosing: (socket: net.Socket) => boolean;
  /** Runs the handler when each request that has arrived in whole has its answer, at once if that is so now. */
  readonly runWhenAnswered: (socket: net.Socket, handler: () => void) => void;
  /** Counts a request on a connection until the returned function is called. */
  readonly beginRequest: (socket: net.Socket, request: http.IncomingMessage) => () => void;
  /** Returns the number of requests on a connection; pipelined ones come before the answers of earlier ones. */
  readonly countRequests: (socket: net.Socket) => number;
  /** Closes the connections that have neither had a request nor received a byte for `minIdleMs`. */
  readonly closeIdle: (minIdleMs: number) => void;
}
