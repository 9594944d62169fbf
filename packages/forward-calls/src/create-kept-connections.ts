import type net from 'node:net';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { KeptConnections } from './kept-connections.js';

/** Creates an empty table. Connections leave it when they close. */
export function createKeptConnections(): KeptConnections {
  const states = new Map<net.Socket, { requests: number; idleSinceMs: number; bytesRead: number }>();
  return {
    beginRequest: (socket) => {
      const state = states.get(socket) ?? { requests: 0, idleSinceMs: 0, bytesRead: 0 };
      if (!states.has(socket)) socket.once('close', () => states.delete(socket));
      states.set(socket, state);
      state.requests += 1;
      return () => {
        state.requests -= 1;
        state.idleSinceMs = readMonotonicMs();
        state.bytesRead = socket.bytesRead;
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
