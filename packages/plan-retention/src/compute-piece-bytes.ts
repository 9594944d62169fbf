import type { RetentionPlannerOptions } from './retention-planner-options.js';

/** Computes the modelled size of a piece in proportion to its tokens, bytes. */
export function computePieceBytes(options: RetentionPlannerOptions, tokens: number): number {
  return (options.pieceBytes * tokens) / options.pieceTokens;
}
