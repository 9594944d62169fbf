import type http from 'node:http';
import type net from 'node:net';
import { createResponseCheck } from './create-response-check.js';

const BROKEN_OFF = 'the answer broke off';

/**
 * Calls `onResponse` when the head of a valid answer has arrived, instead of a listener for `response`. The first byte that is no part of
 * an answer, and the end of a body that was cut off, destroy the request and the answer with an error; `onResponse` is not called after
 * that. To be called before the request gets its connection.
 */
export function watchResponse(
  request: http.ClientRequest,
  onResponse: (response: http.IncomingMessage) => void,
): void {
  const check = createResponseCheck(request.method);
  let response: http.IncomingMessage | undefined;
  let isFaulty = false;
  const fail = (reason: string): void => {
    isFaulty = true;
    const error = new Error(reason);
    response?.destroy(error);
    request.destroy(error);
  };
  const watchSocket = (socket: net.Socket): void => {
    const checkBytes = (bytes: Buffer): void => {
      const fault = isFaulty ? undefined : check.addBytes(bytes);
      if (fault !== undefined) fail(`bytes that are no answer: ${fault}`);
    };
    const checkEnd = (): void => {
      if (!check.isEndingWithConnection()) return;
      // A connection that was reset has no peer any more. One whose request was not read to its end is reset as well, maybe later.
      if (socket.remoteAddress === undefined || !request.writableFinished) fail(BROKEN_OFF);
    };
    const checkError = (): void => {
      if (check.isEndingWithConnection()) fail(BROKEN_OFF);
    };
    // The parser of Node.js takes a body without a length for complete at any end of its connection, so these listeners come before it.
    socket.prependListener('data', checkBytes);
    socket.prependListener('end', checkEnd);
    socket.prependListener('error', checkError);
    request.once('close', () => {
      socket.off('data', checkBytes);
      socket.off('end', checkEnd);
      socket.off('error', checkError);
    });
  };
  request.on('socket', watchSocket);
  request.on('response', (received) => {
    if (isFaulty) return;
    response = received;
    onResponse(received);
  });
}
