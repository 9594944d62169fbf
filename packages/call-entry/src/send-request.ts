import http from 'node:http';
import { once } from 'node:events';

/**
 * Sends one request and resolves when the head of the response has arrived. Rejects when the connection fails before; a later
 * failure destroys the response.
 */
export async function sendRequest(
  url: URL,
  options: http.RequestOptions,
  body: string,
): Promise<http.IncomingMessage> {
  const request = http.request(url, options);
  request.end(body);
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  request.on('error', (error) => response.destroy(error));
  return response;
}
