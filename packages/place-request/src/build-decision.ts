import type { CandidateTrace } from '@laburnumshift/types';
import type { EngineState } from './engine-state.js';
import type { ImportPlan } from './import-plan.js';
import type { PlacementDecision } from './placement-decision.js';

/** Builds the decision from the chosen engine and the import plan for it. */
export function buildDecision(
  engine: EngineState,
  cachedPieces: number,
  plan: ImportPlan,
  candidates: readonly CandidateTrace[],
): PlacementDecision {
  return {
    engine: engine.name,
    cachedPieces,
    headPieces: plan.headPieces,
    importEnd: plan.importEnd,
    queueMs: engine.queueMs,
    transferMs: plan.transferMs,
    prefillMs: plan.prefillMs,
    estimateMs: engine.queueMs + plan.transferAndPrefillMs,
    computedTokens: plan.computedTokens,
    movedBytes: plan.movedBytes,
    candidates,
  };
}
