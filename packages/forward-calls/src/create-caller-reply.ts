import type http from 'node:http';
import type { CallerReply } from './caller-reply.js';

/** Wraps the response of Node's server. `isClosing` tells whether the connection shall end after this answer. */
export function createCallerReply(response: http.ServerResponse, isClosing: () => boolean): CallerReply {
  let isFramed = true;
  return {
    isHeadSent: () => response.headersSent,
    hasLength: () => isFramed,
    sendHead: (status, headers, hasLength) => {
      isFramed = hasLength;
      if (!hasLength) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
      }
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
