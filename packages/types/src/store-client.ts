import type { PeerError } from './peer-error.js';
import type { Result } from './result.js';
import type { StoreStat } from './store-stat.js';
import type { StoredPiece } from './stored-piece.js';
import type { Tier } from './tier.js';

/** The client of one store host. */
export interface StoreClient {
  readonly readStat: () => Promise<Result<StoreStat, PeerError>>;
  readonly listPieces: () => Promise<Result<readonly StoredPiece[], PeerError>>;
  /** Protects a piece from eviction for `ttlMs` milliseconds; fails with `rejected` and status 404 when it is absent. */
  readonly pinPiece: (scope: string, chain: string, ttlMs: number) => Promise<Result<StoredPiece, PeerError>>;
  readonly unpinPiece: (scope: string, chain: string) => Promise<void>;
  readonly movePiece: (scope: string, chain: string, tier: Tier) => Promise<Result<StoredPiece, PeerError>>;
  /** Deletes a piece; false when the store does not hold it. */
  readonly deletePiece: (scope: string, chain: string) => Promise<Result<boolean, PeerError>>;
  readonly close: () => void;
}
