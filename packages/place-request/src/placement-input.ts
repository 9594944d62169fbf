import type { PieceRef, PlacementWeights } from '@laburnumshift/types';
import type { EngineState } from './engine-state.js';
import type { PromptCache } from './prompt-cache.js';

/** All data that a placement decision depends on. It is plain data, so that a decision can be reproduced and explained. */
export interface PlacementInput {
  readonly engines: readonly EngineState[];
  readonly pieces: readonly PieceRef[];
  readonly pieceBytes: number;
  /** What is cached of the prompt, by weight version. For an engine whose version has no entry, nothing counts as cached. */
  readonly caches: ReadonlyMap<string, PromptCache>;
  readonly weights: PlacementWeights;
  /** Names of engines that must not run the request. */
  readonly exclude: readonly string[];
  /** True when the request is suspected of crashing engines; it then runs only where no other suspect is in flight. */
  readonly suspect: boolean;
  /** When given, only engines with this weight version may run the request. */
  readonly weightVersion?: string | undefined;
  /** Key of the conversation, by which the sticky baseline picks an engine. */
  readonly affinityKey: string;
  /** Number of decisions made so far, by which the round robin baseline picks an engine. */
  readonly decisionCount: number;
}
