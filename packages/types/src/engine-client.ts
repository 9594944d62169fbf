import type { CacheEvent } from './cache-event.js';
import type { EngineLoad } from './engine-load.js';
import type { EngineOrder } from './engine-order.js';
import type { EngineRequest } from './engine-request.js';
import type { EngineStreamItem } from './engine-stream-item.js';
import type { OrderResult } from './order-result.js';
import type { PeerError } from './peer-error.js';
import type { Result } from './result.js';
import type { StreamTimeouts } from './stream-timeouts.js';
import type { Tier } from './tier.js';

/** The client of one model engine. */
export interface EngineClient {
  /**
   * Runs a completion and yields its tokens. The id, weight version and offset of every token are checked. Aborting the
   * signal cancels the run.
   */
  readonly streamCompletion: (
    request: EngineRequest,
    limits: StreamTimeouts,
    signal: AbortSignal,
  ) => AsyncIterable<EngineStreamItem>;
  readonly cancelRun: (requestId: string) => Promise<void>;
  /** Yields the cache events after sequence number `since` until the signal aborts or the connection fails. */
  readonly watchEvents: (since: number, signal: AbortSignal) => AsyncIterable<CacheEvent>;
  readonly listPieces: () => Promise<
    Result<
      {
        readonly seq: number;
        readonly pieces: readonly { readonly scope: string; readonly chain: string }[];
      },
      PeerError
    >
  >;
  readonly readLoad: () => Promise<Result<EngineLoad, PeerError>>;
  readonly exportPiece: (
    scope: string,
    chain: string,
    storeUrl: string,
    tier: Tier,
    bytes: number,
  ) => Promise<
    Result<{ readonly length: number; readonly checksum: string; readonly generation: number }, PeerError>
  >;
  readonly sendOrder: (order: EngineOrder) => Promise<OrderResult>;
  readonly close: () => void;
}
