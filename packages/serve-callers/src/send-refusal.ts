import type { ServerResponse } from 'node:http';
import type { Refusal } from '@laburnumshift/types';
import { renderRefusal } from './render-refusal.js';

const SHORT_BODY_BYTES = 65_536;

/** Sends a refusal; when the answer has begun as a stream, as its last event without `[DONE]`. */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.writableEnded || response.destroyed) return;
  const body = renderRefusal(refusal, requestId);
  if (response.headersSent) {
    response.end(`data: ${body}\n\n`);
    return;
  }
  const headers: Record<string, string> = { 'content-type': 'application/json', 'x-request-id': requestId };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1_000));
  }
  if (refusal.status === 401) headers['www-authenticate'] = 'Bearer';
  // The rest of an unread body would otherwise have to be read and thrown away; a short one is cheaper than a new connection.
  const declared = Number(response.req.headers['content-length'] ?? Infinity);
  if (!response.req.complete && !(declared <= SHORT_BODY_BYTES)) headers.connection = 'close';
  response.writeHead(refusal.status, headers).end(body);
}
