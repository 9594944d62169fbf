import { createRefusal } from '@laburnumshift/errors';
import { OUTCOMES } from '@laburnumshift/types';
import type { Exchange } from './exchange.js';
import { filterHeaders } from './filter-headers.js';
import { readRequestText } from './read-request-text.js';
import { sendRefusal } from './send-refusal.js';

/**
 * Handles `ANY /call/SERVICE/PATH`.
 *
 * @param service name from the path, decoded
 * @param path path below the service with its query, as the caller sent it
 */
export async function serveCall(exchange: Exchange, service: string, path: string): Promise<void> {
  const { request, response, requestId } = exchange;
  const text = await readRequestText(exchange);
  const issuedAt = request.headers['idempotency-issued-at'];
  const key = request.headers['idempotency-key'];
  if (!text.ok) {
    sendRefusal(response, text.error, requestId);
    return;
  }
  const message = hasDotSegment(path)
    ? 'the path has dot segments'
    : issuedAt !== undefined && !/^\d{1,16}$/.test(String(issuedAt))
      ? 'idempotency-issued-at is not a time in milliseconds'
      : undefined;
  if (message !== undefined) {
    sendRefusal(response, createRefusal('bad_request', message, OUTCOMES.notRun), requestId);
    return;
  }
  // Services identify the account by `x-client-account`, so a value from the caller is overwritten.
  const headers = {
    ...filterHeaders(request.headers),
    'x-request-id': requestId,
    'x-client-account': exchange.account.name,
  };
  const answer = await exchange.handlers.runCall(
    {
      requestId,
      account: exchange.account,
      service,
      call: { method: request.method ?? 'GET', path, headers, body: text.value },
      idempotencyKey: key === undefined ? undefined : String(key),
      issuedAtMs: issuedAt === undefined ? undefined : Number(issuedAt),
      acceptedAtMs: exchange.acceptedAtMs,
    },
    exchange.signal,
  );
  if (!answer.ok) {
    sendRefusal(response, answer.error, requestId);
    return;
  }
  response
    .writeHead(answer.value.status, { ...filterHeaders(answer.value.headers), 'x-request-id': requestId })
    .end(answer.value.body);
}

/** Finds dot segments, plain or percent-encoded. They could address paths of the server that the caller may not use. */
function hasDotSegment(path: string): boolean {
  const decodedPath = (path.split('?')[0] ?? '').replace(/%2e/gi, '.').replace(/%2f|%5c|\\/gi, '/');
  return decodedPath.split('/').some((segment) => segment === '.' || segment === '..');
}
