import { parseResponse, createHttpPool } from '@laburnumshift/call-store';
import type { EngineClient } from '@laburnumshift/types';
import type { EngineClientOptions } from './engine-client-options.js';
import { ENGINE_SCHEMAS } from './engine-schemas.js';
import { sendOrder } from './send-order.js';
import { streamCompletion } from './stream-completion.js';
import { watchEvents } from './watch-events.js';

const KIB = 1024;

/** Attempts to cancel a run. The second is made only when the first got no response in time, and uses a new connection. */
const CANCEL_ATTEMPTS = 2;

/** Creates the client of one engine. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const callTimeoutMs = options.callTimeoutMs ?? 1_000;
  const maxLineLength = options.maxLineLength ?? 64 * KIB;
  const pool = createHttpPool({
    url: options.url,
    maxConnections: options.maxConnections ?? 256,
    maxBodyBytes: options.maxBodyBytes ?? 64 * KIB * KIB,
  });
  return {
    streamCompletion: (request, limits, signal) =>
      streamCompletion(pool, maxLineLength, request, limits, signal),
    cancelRun: async (requestId) => {
      const body = { request_id: requestId };
      for (let attempt = 0; attempt < CANCEL_ATTEMPTS; attempt += 1) {
        const answer = await pool.sendRequest({
          method: 'POST',
          path: '/v1/cancel',
          body,
          timeoutMs: callTimeoutMs,
        });
        if (answer.ok || answer.error.kind !== 'silent') return;
      }
    },
    watchEvents: (since, signal) =>
      watchEvents(pool, maxLineLength, callTimeoutMs, options.eventTimeoutMs ?? 10_000, since, signal),
    listPieces: async () =>
      parseResponse(
        await pool.sendRequest({ method: 'GET', path: '/kv/pieces', timeoutMs: callTimeoutMs }),
        ENGINE_SCHEMAS.pieces,
      ),
    readLoad: async () =>
      parseResponse(
        await pool.sendRequest({ method: 'GET', path: '/load', timeoutMs: callTimeoutMs }),
        ENGINE_SCHEMAS.load,
      ),
    exportPiece: async (scope, chain, storeUrl, tier, bytes) => {
      const body = { scope, chain, url: storeUrl, key: `${scope}:${chain}`, tier, bytes };
      const timeoutMs = options.exportTimeoutMs ?? 30_000;
      const answer = await pool.sendRequest({ method: 'POST', path: '/kv/export', body, timeoutMs });
      return parseResponse(answer, ENGINE_SCHEMAS.exported);
    },
    sendOrder: (order) => sendOrder(pool, order, callTimeoutMs),
    close: pool.close,
  };
}
