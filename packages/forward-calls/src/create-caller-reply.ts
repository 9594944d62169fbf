import type http from 'node:http';
import type { CallerReply } from './caller-reply.js';

const EMPTY = Buffer.alloc(0);

/** Wraps the response of a Node.js HTTP server. The connection is closed after the response when `isClosing` returns true. */
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
    end: (bytes = EMPTY) => {
      // Node.js takes a connection for idle once its response has ended, even while parts of it wait to be sent.
      response.write(bytes, () => {
        response.end();
      });
    },
    abort: () => {
      response.destroy();
    },
  };
}
