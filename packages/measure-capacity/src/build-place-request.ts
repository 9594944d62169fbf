import type { EnginePlacementRequest } from '@laburnumshift/types';
import { buildPieces } from './build-pieces.js';

/** Builds the request of an entry node for a prompt of so many pieces. */
export function buildPlaceRequest(prompt: string, pieces: number): EnginePlacementRequest {
  return {
    requestId: `request-${prompt}-0123456789`,
    account: 'account-0123',
    accountWeight: 1,
    service: 'service-0123',
    pool: 'pool-1',
    cell: 17,
    priority: 'normal',
    fingerprint: prompt.padEnd(43, 'f'),
    suspect: false,
    model: 'model-1',
    pieces: buildPieces(prompt, pieces),
    maxTokens: 256,
    remainingMs: 1_000_000,
    waitMs: 20,
    weights: { perMs: 1, perKiloTokenRecomputed: 5, perMebibyteMoved: 0.1 },
    exclude: [],
  };
}
