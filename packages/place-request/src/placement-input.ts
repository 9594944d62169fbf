import type { PieceRef, PlacementWeights } from '@laburnumshift/types';
import type { EngineState } from './engine-state.js';
import type { PromptCache } from './prompt-cache.js';

/** Everything that a placement decision depends on. Plain data, so that a decision can be repeated and explained. */
export interface PlacementInput {
  readonly engines: readonly EngineState[];
  readonly pieces: readonly PieceRef[];
  readonly pieceBytes: number;
  /** By weight version. An engine whose version has no entry is placed as if nothing were cached. */
  readonly caches: ReadonlyMap<string, PromptCache>;
  readonly weights: PlacementWeights;
  readonly exclude: readonly string[];
  readonly suspect: boolean;
  /** Only engines on this weight version may run the request. */
  readonly weightVersion?: string | undefined;
  /** Identifies the conversation for the sticky baseline. */
  readonly stickyKey: string;
  /** Decisions made so far, for the round robin baseline. */
  readonly turn: number;
}
