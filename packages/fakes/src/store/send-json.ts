import type { ServerResponse } from 'node:http';
import type { FakeServer } from './fake-server.js';

/** Answers with JSON, unless the connection is silent. */
export function sendJson(
  server: FakeServer,
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (server.isSilent(response)) return;
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(body.length),
    ...headers,
  });
  response.end(body);
}
