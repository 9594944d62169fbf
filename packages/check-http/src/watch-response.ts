import type http from 'node:http';
import type net from 'node:net';
import { createResponseCheck } from './create-response-check.js';

/**
 * Calls `onResponse` when the head of a valid answer has arrived, instead of a listener for `response`. The first byte that is no part of
 * an answer destroys the request and the answer with an error; `onResponse` is not called after that. To be called before the request gets its connection.
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
    // The parser of Node.js must not get bytes before they are checked.
    socket.prependListener('data', checkBytes);
    request.once('close', () => {
      socket.off('data', checkBytes);
    });
  };
  request.on('socket', watchSocket);
  request.on('response', (received) => {
    if (isFaulty) return;
    response = received;
    onResponse(received);
  });
}
