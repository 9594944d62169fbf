import type { CandidateTrace } from '@laburnumshift/types';
import { buildDecision } from './build-decision.js';
import { addCongestionPrice } from './add-congestion-price.js';
import { buildTransferTable } from './build-transfer-table.js';
import { isEligible } from './is-eligible.js';
import type { PlacementDecision } from './placement-decision.js';
import type { PlacementInput } from './placement-input.js';
import { planImports } from './plan-imports.js';
import type { TransferTable } from './transfer-table.js';

/**
 * Chooses the engine and the pieces to import with the lowest cost, which is the sum of the estimated time until the first token,
 * the recomputed tokens and the moved bytes, each at the price of the service. Of equal costs the engine with fewer requests in
 * flight wins.
 *
 * @returns the decision, or `undefined` when no engine may run the request
 */
export function placeRequest(input: PlacementInput): PlacementDecision | undefined {
  const { pieces, pieceBytes } = input;
  const weights = addCongestionPrice(input);
  const tables = new Map<string, TransferTable>();
  const candidates: CandidateTrace[] = [];
  let best:
    | { engine: PlacementInput['engines'][number]; cached: number; plan: ReturnType<typeof planImports> }
    | undefined;
  let bestCost = Infinity;
  for (const engine of input.engines) {
    if (!isEligible(engine, input)) continue;
    const cache = input.caches.get(engine.weightVersion);
    let table = tables.get(engine.weightVersion);
    if (table === undefined) {
      table = buildTransferTable(pieces, pieceBytes, cache);
      tables.set(engine.weightVersion, table);
    }
    const cached = Math.min(cache?.prefix.get(engine.name) ?? 0, pieces.length);
    const plan = planImports(table, cached, engine.prefillTokensPerSecond, pieceBytes, weights);
    const cost = plan.cost + weights.perMs * engine.queueMs;
    candidates.push({
      engine: engine.name,
      queueMs: engine.queueMs,
      transferMs: plan.transferMs,
      prefillMs: plan.prefillMs,
      cost,
    });
    if (
      cost < bestCost ||
      (cost === bestCost && best !== undefined && engine.running < best.engine.running)
    ) {
      best = { engine, cached, plan };
      bestCost = cost;
    }
  }
  return best && buildDecision(best.engine, best.cached, best.plan, candidates);
}
