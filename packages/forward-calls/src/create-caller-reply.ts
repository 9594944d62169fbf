import type http from 'node:http';
import type { CallerReply } from './caller-reply.js';

const EMPTY = Buffer.alloc(0);

/**
 * Wraps the response of a Node.js HTTP server. The connection is closed after the response when `isClosing` returns true.
 * `onUnread` is called with the number of bytes when some have to wait for the caller, and with 0 when they have been sent.
 */
export function createCallerReply(
  response: http.ServerResponse,
  isClosing: () => boolean,
  onUnread: (bytes: number) => void,
): CallerReply {
  let isUnread = false;
  const observeUnread = (): void => {
    onUnread(response.writableLength);
    if (isUnread) return;
    isUnread = true;
    response.once('drain', () => {
      isUnread = false;
      onUnread(0);
    });
  };
  return {
    isHeadSent: () => response.headersSent,
    sendHead: (status, headers) => {
      response.writeHead(status, [...headers, ...(isClosing() ? ['Connection', 'close'] : [])]);
    },
    write: (bytes) => {
      const isAccepted = response.write(bytes);
      if (!isAccepted) observeUnread();
      return isAccepted;
    },
    onDrain: (handler) => {
      response.once('drain', handler);
    },
    end: (bytes = EMPTY) => {
      // Node.js takes a connection for idle once its response has ended, even while parts of it wait to be sent.
      const isAccepted = response.write(bytes, () => {
        response.end();
      });
      if (!isAccepted) observeUnread();
    },
    abort: () => {
      response.destroy();
    },
  };
}
