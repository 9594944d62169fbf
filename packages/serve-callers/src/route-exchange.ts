import { createRefusal } from '@laburnumshift/errors';
import { OUTCOMES } from '@laburnumshift/types';
import type { Exchange } from './exchange.js';
import { sendRefusal } from './send-refusal.js';
import { serveCall } from './serve-call.js';
import { serveCompletion } from './serve-completion.js';
import { serveOutcome } from './serve-outcome.js';

/** Sends a request to its handler by method and path. */
export async function routeExchange(exchange: Exchange): Promise<void> {
  const { url = '/', method } = exchange.request;
  if (method === 'POST' && url === '/v1/completions') {
    await serveCompletion(exchange);
    return;
  }
  const call = /^\/call\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(url);
  const service = decodePart(call?.[1]);
  if (service !== undefined) {
    await serveCall(exchange, service, `${call?.[2] ?? '/'}${call?.[3] ?? ''}`);
    return;
  }
  const look = method === 'GET' ? /^\/outcome\/([^/?]+)\/([^/?]+)$/.exec(url) : null;
  const names = [decodePart(look?.[1]), decodePart(look?.[2])];
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

function decodePart(part: string | undefined): string | undefined {
  if (part === undefined) return undefined;
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
