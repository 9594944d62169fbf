import type { CandidateTrace } from '@laburnumshift/types';
import type { EngineState } from './engine-state.js';
import type { ImportPlan } from './import-plan.js';
import type { PlacementDecision } from './placement-decision.js';

/** Joins the chosen engine and its plan to a decision. */
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
    estimateMs: engine.queueMs + plan.workMs,
    computedTokens: plan.computedTokens,
    movedBytes: plan.movedBytes,
    candidates,
  };
}
