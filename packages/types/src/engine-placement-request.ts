import type { PieceRef } from './piece-ref.js';
import type { PlacementWeights } from './placement-weights.js';
import type { Priority } from './priority.js';

/** Placement request of an entry node to the home node of a cell. */
export interface EnginePlacementRequest {
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
  /** Time left until the first token is due, milliseconds. */
  readonly remainingMs: number;
  /**
   * Time within which the home node replies, milliseconds. It replies `queued` when there is no grant by then, and the entry
   * node repeats the request with the same request id.
   */
  readonly waitMs: number;
  readonly weights: PlacementWeights;
  /** Engines that must not be chosen because an attempt of this request failed on them. */
  readonly exclude: readonly string[];
  /** Weight version that the engine must have, so that a resumed run continues on the same weights. */
  readonly weightVersion?: string | undefined;
}
