import type { ServerResponse } from 'node:http';
import type { Refusal } from '@laburnumshift/types';
import { renderRefusal } from './render-refusal.js';

/** Largest unread request body that is discarded to keep the connection open. */
const MAX_DISCARDED_BODY_BYTES = 65_536;

/**
 * Sends a refusal as the response. When the response is a stream that has begun, the refusal becomes its last event,
 * without `[DONE]` after it. Does nothing when the response has ended or its connection is closed.
 */
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
  // Keeping the connection open requires reading and discarding the rest of the body, which is cheaper than a new
  // connection only for a short body.
  const declared = Number(response.req.headers['content-length'] ?? Infinity);
  if (!response.req.complete && !(declared <= MAX_DISCARDED_BODY_BYTES)) headers.connection = 'close';
  response.writeHead(refusal.status, headers).end(body);
}
