import { createRefusal } from '@laburnumshift/errors';
import { OUTCOMES } from '@laburnumshift/types';
import type { Exchange } from './exchange.js';
import { sendRefusal } from './send-refusal.js';
import { serveCall } from './serve-call.js';
import { serveCompletion } from './serve-completion.js';
import { serveOutcome } from './serve-outcome.js';

/** Routes a request to its handler by method and path; refuses an unknown path with the code `not_found`. */
export async function routeExchange(exchange: Exchange): Promise<void> {
  const { url = '/', method } = exchange.request;
  if (method === 'POST' && url === '/v1/completions') {
    await serveCompletion(exchange);
    return;
  }
  const call = /^\/call\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(url);
  const service = decodeSegment(call?.[1]);
  if (service !== undefined) {
    await serveCall(exchange, service, `${call?.[2] ?? '/'}${call?.[3] ?? ''}`);
    return;
  }
  const look = method === 'GET' ? /^\/outcome\/([^/?]+)\/([^/?]+)$/.exec(url) : null;
  const names = [decodeSegment(look?.[1]), decodeSegment(look?.[2])];
  if (names[0] !== undefined && names[1] !== undefined) {
    await serveOutcome(exchange, names[0], names[1]);
    return;
  }
  sendRefusal(
    exchange.response,
    createRefusal('not_found', 'no such path', OUTCOMES.notRun),
    exchange.requestId,
  );
}

/** Decodes a percent-encoded path segment; `undefined` for a malformed one. */
function decodeSegment(part: string | undefined): string | undefined {
  if (part === undefined) return undefined;
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
