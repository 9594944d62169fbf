import type { ServerResponse } from 'node:http';

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown, bootId: string): void {
  response.writeHead(status, { 'content-type': 'application/json', 'x-boot-id': bootId });
  response.end(JSON.stringify(value));
}
