import type { PieceRef } from './piece-ref.js';
import type { PlacementWeights } from './placement-weights.js';
import type { Priority } from './priority.js';

/** What an entry node asks of a cell's home. */
export interface PlaceRequest {
  readonly requestId: string;
  readonly account: string;
  readonly accountWeight: number;
  readonly service: string;
  readonly pool: string;
  readonly cell: number;
  readonly priority: Priority;
  readonly fingerprint: string;
  readonly suspect: boolean;
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly pieces: readonly PieceRef[];
  readonly maxTokens: number;
  /** Milliseconds that the request may still wait for its first token. */
  readonly remainingMs: number;
  /** The home answers within this time; it answers `queued` when there is no grant yet, and the caller asks again with the same request id. */
  readonly waitMs: number;
  readonly weights: PlacementWeights;
  /** Engines that already failed this request. */
  readonly exclude: readonly string[];
  /** For a resumed run: only engines on this weight version. */
  readonly weightVersion?: string | undefined;
}
