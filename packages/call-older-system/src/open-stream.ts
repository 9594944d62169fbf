import { request as sendRequest } from 'node:http';
import { watchResponse } from '@laburnumshift/check-http';
import type { StreamResponse } from './stream-response.js';

/**
 * Starts a completion on a new connection; resolves when the head of the response arrives or the connection fails. Aborting the
 * signal closes the connection.
 */
export function openStream(
  url: string,
  body: Readonly<Record<string, unknown>>,
  signal: AbortSignal,
): Promise<StreamResponse> {
  return new Promise((resolve) => {
    let isConnected = false;
    const request = sendRequest(`${url}/v1/completions`, {
      method: 'POST',
      agent: false,
      signal,
      headers: { 'content-type': 'application/json', accept: 'text/event-stream' },
    });
    request.on('socket', (socket) => {
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    watchResponse(request, (response) => {
      resolve({ ok: true, response });
    });
    request.on('error', (error) => {
      resolve({ ok: false, detail: error.message, sent: isConnected });
    });
    request.end(JSON.stringify(body));
  });
}
