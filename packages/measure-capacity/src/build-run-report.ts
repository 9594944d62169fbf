import type { RunReport } from '@laburnumshift/types';
import { buildPieces } from './build-pieces.js';

/** Builds the report of a finished run of a prompt of so many pieces. */
export function buildRunReport(prompt: string, pieces: number, engine: string): RunReport {
  return {
    requestId: `request-${prompt}-0123456789`,
    pool: 'pool-1',
    cell: 0,
    engine,
    fingerprint: prompt.padEnd(43, 'f'),
    result: 'finished',
    firstTokenMs: 210,
    estimateMs: 200,
    weightVersion: 'v1',
    cacheScope: `scope-${prompt.slice(0, 3)}`,
    service: 'service-0123',
    account: 'account-0123',
    pieces: buildPieces(prompt, pieces),
    cachedPieces: pieces - 1,
    importedPieces: 0,
    computedTokens: 2000,
    outputTokens: 256,
  };
}
