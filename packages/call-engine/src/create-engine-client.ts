import { checkAnswer, createHttpPool } from '@laburnumshift/call-store';
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
  const callLimitMs = options.callLimitMs ?? 1_000;
  const maxLineBytes = options.maxLineBytes ?? 64 * KIB;
  const pool = createHttpPool({
    url: options.url,
    maxSockets: options.maxSockets ?? 256,
    maxBodyBytes: options.maxBodyBytes ?? 64 * KIB * KIB,
  });
  return {
    streamCompletion: (request, limits, signal) =>
      streamCompletion(pool, maxLineBytes, request, limits, signal),
    cancelRun: async (requestId) => {
      const body = { request_id: requestId };
      for (let attempt = 0; attempt < CANCEL_ATTEMPTS; attempt += 1) {
        const answer = await pool.callPeer({
          method: 'POST',
          path: '/v1/cancel',
          body,
          limitMs: callLimitMs,
        });
        if (answer.ok || answer.error.kind !== 'silent') return;
      }
    },
    watchEvents: (since, signal) =>
      watchEvents(pool, maxLineBytes, callLimitMs, options.eventSilenceMs ?? 10_000, since, signal),
    listPieces: async () =>
      checkAnswer(
        await pool.callPeer({ method: 'GET', path: '/kv/pieces', limitMs: callLimitMs }),
        ENGINE_SCHEMAS.pieces,
      ),
    readLoad: async () =>
      checkAnswer(
        await pool.callPeer({ method: 'GET', path: '/load', limitMs: callLimitMs }),
        ENGINE_SCHEMAS.load,
      ),
    exportPiece: async (scope, chain, storeUrl, tier, bytes) => {
      const body = { scope, chain, url: storeUrl, key: `${scope}:${chain}`, tier, bytes };
      const limitMs = options.exportLimitMs ?? 30_000;
      const answer = await pool.callPeer({ method: 'POST', path: '/kv/export', body, limitMs });
      return checkAnswer(answer, ENGINE_SCHEMAS.exported);
    },
    sendOrder: (order) => sendOrder(pool, order, callLimitMs),
    close: pool.close,
  };
}
