import type http from 'node:http';
import { startTimer } from '@laburnumshift/clock';
import type { CallerReply } from './caller-reply.js';

/** Delay before the caller's connection is reset, in milliseconds: one round trip, so that the caller can read the events sent so far. */
const RESET_DELAY_MS = 20;
const EMPTY = Buffer.alloc(0);

/** Wraps the response of a Node.js HTTP server. The connection is closed after the response when `isClosing` returns true. */
export function createCallerReply(response: http.ServerResponse, isClosing: () => boolean): CallerReply {
  let isDelimited = true;
  return {
    isHeadSent: () => response.headersSent,
    isBodyDelimited: () => isDelimited,
    sendHead: (status, headers, hasDelimiter) => {
      isDelimited = hasDelimiter;
      if (!hasDelimiter) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
      }
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
      const { socket } = response;
      if (isDelimited || socket === null) {
        response.destroy();
        return;
      }
      // The end of the connection marks the end of this body, so an orderly close would make the response look complete.
      startTimer(RESET_DELAY_MS, () => {
        socket.resetAndDestroy();
      });
    },
  };
}
