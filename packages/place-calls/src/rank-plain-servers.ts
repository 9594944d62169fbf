import { computeScore } from './compute-score.js';
import type { PlainCandidate } from './plain-candidate.js';
import type { PlainCost } from './plain-cost.js';
import type { ScoredServer } from './scored-server.js';
import type { ScoreTerms } from './score-terms.js';

/** Penalty for a failure share of 1, as load in shares of the slots. */
const FAILURE_PENALTY = 6;
/** Penalty for a silent server, as load in shares of the slots. */
const SILENCE_PENALTY = 4;
/** Penalty for a server of another failure domain, as load in shares of the slots: about one in two free slots. */
const REMOTE_DOMAIN_PENALTY = 0.4;

/**
 * Weight of the load of a server that has free slots, as a share of the time that it stands for. A call begins there at once, but calls
 * that other hosts have just sent may have taken the slots.
 */
const SPREAD_WEIGHT = 0.3;

/**
 * Computes for each server of a plain service, which runs no model, when it is expected to complete a call: after the work that it has
 * and the call itself, both as much longer as the server is slow. Where that is unknown, load in shares of the slots is compared.
 *
 * @param ownDomain failure domain of the host that has the call
 * @param cost `undefined` when unknown
 */
export function rankPlainServers(
  candidates: readonly PlainCandidate[],
  ownDomain: string,
  cost: PlainCost | undefined,
): readonly ScoredServer[] {
  const isKnown = cost !== undefined && candidates.every(({ outstandingMs }) => outstandingMs !== undefined);
  // One unit of load is a server with calls in all of its slots, which takes about the time of one call.
  const unit = isKnown ? cost.meanMs : 1;
  return candidates.map((server) => {
    const { id, calls, failureDomain, failureShare, isSilent, outstandingMs = 0, slowness = 1 } = server;
    const slots = Math.max(1, server.slots);
    const penalties = {
      failure: failureShare * FAILURE_PENALTY * unit,
      silence: isSilent ? SILENCE_PENALTY * unit : 0,
      remoteDomain: failureDomain === ownDomain ? 0 : REMOTE_DOMAIN_PENALTY * unit,
    };
    if (!isKnown) {
      const terms: ScoreTerms = { load: ((calls + 1) / slots) * slowness, ...penalties };
      return { id, expectedMs: 0, score: computeScore(terms), terms };
    }
    // The call begins when all but `slots - 1` of the calls have ended; the others still run then.
    const callsBefore = Math.max(0, calls + 1 - slots);
    const waitMs = calls > 0 ? (outstandingMs / slots) * (callsBefore / calls) * slowness : 0;
    const callMs = cost.callMs * slowness;
    const spreadMs = (calls / slots) * cost.meanMs * SPREAD_WEIGHT * slowness;
    const terms: ScoreTerms = { waitMs, callMs, spreadMs, ...penalties };
    return { id, expectedMs: waitMs + callMs, score: computeScore(terms), terms };
  });
}
