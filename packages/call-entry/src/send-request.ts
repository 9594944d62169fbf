import http from 'node:http';
import { watchResponse } from '@laburnumshift/check-http';

/**
 * Sends one request and resolves when the head of the response has arrived. Rejects when the connection fails before; a later
 * failure destroys the response.
 */
export function sendRequest(
  url: URL,
  options: http.RequestOptions,
  body: string,
): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const request = http.request(url, options);
    let response: http.IncomingMessage | undefined;
    request.on('error', (error) => {
      if (response === undefined) reject(error);
      else response.destroy(error);
    });
    watchResponse(request, (received) => {
      response = received;
      resolve(received);
    });
    request.end(body);
  });
}
