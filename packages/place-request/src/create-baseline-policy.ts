import { buildDecision } from './build-decision.js';
import { buildTransferTable } from './build-transfer-table.js';
import type { EngineState } from './engine-state.js';
import { estimateImportPlan } from './estimate-import-plan.js';
import { isEligible } from './is-eligible.js';
import type { PlacementInput } from './placement-input.js';
import type { PlacementPolicy } from './placement-policy.js';

/**
 * Creates a baseline policy from a function that picks one of the eligible engines. The policy then imports every stored piece
 * that follows the cached prefix without a gap, regardless of the load of the links.
 */
export function createBaselinePolicy(
  pickEngine: (eligible: readonly EngineState[], input: PlacementInput) => EngineState | undefined,
): PlacementPolicy {
  return (input) => {
    const engine = pickEngine(
      input.engines.filter((candidate) => isEligible(candidate, input)),
      input,
    );
    if (engine === undefined) return undefined;
    const { pieces, pieceBytes, weights } = input;
    const cache = input.caches.get(engine.weightVersion);
    const cached = Math.min(cache?.prefix.get(engine.name) ?? 0, pieces.length);
    let end = cached;
    while (end < pieces.length && (cache?.stored[end] ?? -1) >= 0) end += 1;
    const table = buildTransferTable(pieces, pieceBytes, cache);
    const range = { cached, head: cached, end };
    const plan = estimateImportPlan(table, range, engine.prefillTokensPerSecond, pieceBytes, weights);
    return buildDecision(engine, cached, plan, []);
  };
}
