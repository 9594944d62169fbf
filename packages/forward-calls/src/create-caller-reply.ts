import type http from 'node:http';
import type { CallerReply } from './caller-reply.js';

/** Wraps the response of Node's server. `isClosing` tells whether the connection shall end after this answer. */
export function createCallerReply(response: http.ServerResponse, isClosing: () => boolean): CallerReply {
  return {
    isHeadSent: () => response.headersSent,
    sendHead: (status, headers) => {
      response.writeHead(status, [...headers, ...(isClosing() ? ['Connection', 'close'] : [])]);
    },
    write: (bytes) => response.write(bytes),
    onDrain: (handler) => {
      response.once('drain', handler);
    },
    end: (bytes) => {
      response.end(bytes);
    },
    abort: () => {
      response.destroy();
    },
  };
}
