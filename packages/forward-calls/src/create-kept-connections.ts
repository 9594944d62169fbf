import type net from 'node:net';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { KeptConnections } from './kept-connections.js';

interface ConnectionState {
  requests: number;
  idleSinceMs: number;
  bytesRead: number;
  isClosing: boolean;
  runIdle: (() => void) | undefined;
}

/** Creates an empty table. Connections leave it when they close. */
export function createKeptConnections(): KeptConnections {
  const states = new Map<net.Socket, ConnectionState>();
  let opened = 0;
  const openState = (socket: net.Socket): ConnectionState => {
    const known = states.get(socket);
    if (known !== undefined) return known;
    const state = {
      requests: 0,
      idleSinceMs: readMonotonicMs(),
      bytesRead: 0,
      isClosing: false,
      runIdle: undefined,
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
    runWhenIdle: (socket, handler) => {
      const state = openState(socket);
      if (state.requests === 0) handler();
      else state.runIdle = handler;
    },
    beginRequest: (socket) => {
      const state = openState(socket);
      state.requests += 1;
      return () => {
        state.requests -= 1;
        state.idleSinceMs = readMonotonicMs();
        state.bytesRead = socket.bytesRead;
        if (state.requests === 0) state.runIdle?.();
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
