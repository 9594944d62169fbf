import type { RetentionPlannerOptions } from './retention-planner-options.js';

/** Computes the modelled bytes of a piece; an incomplete one is smaller. */
export function computePieceBytes(options: RetentionPlannerOptions, tokens: number): number {
  return (options.pieceBytes * tokens) / options.pieceTokens;
}
