import { createListSchema } from '@laburnumshift/check-lists';
import type { PeerError, Result, StoreClient, StoredPiece } from '@laburnumshift/types';
import { z } from 'zod';
import { parseResponse } from './parse-response.js';
import { createHttpPool } from './create-http-pool.js';
import type { HttpPool } from './http-pool.js';
import { pieceSchema } from './piece-schema.js';
import type { StoreClientOptions } from './store-client-options.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Largest number of pages in a listing; it ends the listing of a store that always returns a next page. */
const MAX_PAGES = 10_000;

const rate = z.number().min(0);

const statSchema = z.object({
  memoryBytes: rate,
  memoryUsed: rate,
  diskBytes: rate,
  diskUsed: rate,
  linkBytesPerSecond: rate,
  linkQueuedBytes: rate,
  otherShare: rate.max(1),
});

const pageSchema = z.object({ pieces: createListSchema(pieceSchema), next: z.string().optional() });

function toStoredPiece(store: string, piece: z.infer<typeof pieceSchema>): StoredPiece {
  const { key, tier, generation, length, checksum, bytes } = piece;
  const [scope = '', chain = ''] = key.split(':');
  return { scope, chain, store, tier, generation, length, checksum, bytes };
}

async function listPages(
  pool: HttpPool,
  store: string,
  timeoutMs: number,
): Promise<Result<readonly StoredPiece[], PeerError>> {
  const pieces: StoredPiece[] = [];
  let after: string | undefined;
  for (let page = 0; page < MAX_PAGES; page += 1) {
    const query = after === undefined ? '' : `?after=${encodeURIComponent(after)}`;
    const answer = await pool.sendRequest({ method: 'GET', path: `/pieces${query}`, timeoutMs });
    const checked = parseResponse(answer, pageSchema);
    if (!checked.ok) return checked;
    for (const piece of checked.value.pieces) pieces.push(toStoredPiece(store, piece));
    after = checked.value.next;
    if (after === undefined) return { ok: true, value: pieces };
  }
  return { ok: false, error: { kind: 'bad-answer', detail: 'the listing does not end', sent: true } };
}

/** Creates the client of one store host. Responses are validated; one about another piece is a `bad-answer`. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const { name, url } = options;
  const callTimeoutMs = options.callTimeoutMs ?? 1_000;
  const moveTimeoutMs = options.moveTimeoutMs ?? 10_000;
  const pool = createHttpPool({
    url,
    maxConnections: options.maxConnections ?? 16,
    maxBodyBytes: options.maxBodyBytes ?? MAX_BODY_BYTES,
  });
  const callPiece = async (
    scope: string,
    chain: string,
    action: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<StoredPiece, PeerError>> => {
    const key = `${scope}:${chain}`;
    const path = `/pieces/${encodeURIComponent(key)}/${action}`;
    const answer = parseResponse(
      await pool.sendRequest({ method: 'POST', path, body, timeoutMs }),
      pieceSchema,
    );
    if (!answer.ok) return answer;
    if (answer.value.key === key) return { ok: true, value: toStoredPiece(name, answer.value) };
    return { ok: false, error: { kind: 'bad-answer', detail: 'answer about another piece', sent: true } };
  };
  return {
    readStat: async () =>
      parseResponse(
        await pool.sendRequest({ method: 'GET', path: '/stat', timeoutMs: callTimeoutMs }),
        statSchema,
      ),
    listPieces: () => listPages(pool, name, callTimeoutMs),
    pinPiece: (scope, chain, ttlMs) => callPiece(scope, chain, 'pin', { ttlMs }, callTimeoutMs),
    unpinPiece: async (scope, chain) => {
      const path = `/pieces/${encodeURIComponent(`${scope}:${chain}`)}/unpin`;
      await pool.sendRequest({ method: 'POST', path, body: {}, timeoutMs: callTimeoutMs });
    },
    movePiece: (scope, chain, tier) => callPiece(scope, chain, 'move', { tier }, moveTimeoutMs),
    deletePiece: async (scope, chain) => {
      const path = `/pieces/${encodeURIComponent(`${scope}:${chain}`)}`;
      const answer = await pool.sendRequest({ method: 'DELETE', path, timeoutMs: callTimeoutMs });
      if (answer.ok && answer.value.status === 404) return { ok: true, value: false };
      const checked = parseResponse(answer, z.object({}));
      return checked.ok ? { ok: true, value: true } : checked;
    },
    close: pool.close,
  };
}
