import type http from 'node:http';
import type net from 'node:net';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { KeptConnections } from './kept-connections.js';

interface ConnectionState {
  requests: number;
  /** The newest request. */
  request: http.IncomingMessage | undefined;
  idleSinceMs: number;
  bytesRead: number;
  isClosing: boolean;
  runAnswered: (() => void) | undefined;
}

/** Whether each request that has arrived in whole has its answer. */
const isAnswered = ({ requests, request }: ConnectionState): boolean =>
  requests === 0 || (requests === 1 && request?.complete === false);

/** Creates an empty table. Connections leave it when they close. */
export function createKeptConnections(): KeptConnections {
  const states = new Map<net.Socket, ConnectionState>();
  let opened = 0;
  const openState = (socket: net.Socket): ConnectionState => {
    const known = states.get(socket);
    if (known !== undefined) return known;
    const state: ConnectionState = {
      requests: 0,
      request: undefined,
      idleSinceMs: readMonotonicMs(),
      bytesRead: 0,
      isClosing: false,
      runAnswered: undefined,
    };
    states.set(socket, state);
    socket.once('close', () => states.delete(socket));
    return state;
  };
  return {
    countOpened: () => opened,
    recordOpened: () => {
      opened += 1;
    },
    countConnections: () => states.size,
    markClosing: (socket) => {
      openState(socket).isClosing = true;
    },
    isClosing: (socket) => states.get(socket)?.isClosing === true,
    runWhenAnswered: (socket, handler) => {
      const state = openState(socket);
      if (isAnswered(state)) handler();
      else state.runAnswered = handler;
    },
    beginRequest: (socket, request) => {
      const state = openState(socket);
      state.requests += 1;
      state.request = request;
      return () => {
        state.requests -= 1;
        state.idleSinceMs = readMonotonicMs();
        state.bytesRead = socket.bytesRead;
        if (isAnswered(state)) state.runAnswered?.();
      };
    },
    countRequests: (socket) => states.get(socket)?.requests ?? 0,
    closeIdle: (minIdleMs) => {
      const idleSinceMs = readMonotonicMs() - minIdleMs;
      for (const [socket, state] of states) {
        const isIdle = state.requests === 0 && state.bytesRead === socket.bytesRead;
        if (isIdle && state.idleSinceMs <= idleSinceMs) socket.destroy();
      }
    },
  };
}
