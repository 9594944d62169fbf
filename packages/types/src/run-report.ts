import type { PieceRef } from './piece-ref.js';

/** Report of an entry node after a run or an attempt. */
export interface RunReport {
  readonly requestId: string;
  readonly pool: string;
  readonly cell: number;
  readonly engine: string;
  readonly fingerprint: string;
  readonly result: 'finished' | 'failed' | 'cancelled';
  /** Time until the first token, milliseconds; absent when there was none. */
  readonly firstTokenMs?: number | undefined;
  /** Time until the first token that the placement estimated, milliseconds. */
  readonly estimateMs: number;
  readonly weightVersion: string;
  readonly cacheScope: string;
  readonly service: string;
  readonly account: string;
  readonly pieces: readonly PieceRef[];
  readonly cachedPieces: number;
  readonly importedPieces: number;
  readonly computedTokens: number;
  readonly outputTokens: number;
}
