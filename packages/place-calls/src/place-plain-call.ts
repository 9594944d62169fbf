import type { PlainCandidate } from './plain-candidate.js';
import type { PlainCost } from './plain-cost.js';
import { rankPlainServers } from './rank-plain-servers.js';
import type { ScoredServer } from './scored-server.js';

/**
 * Chooses the server of a plain service that is expected to complete a call first, or the least loaded one while the cost of calls is
 * unknown. Servers of the host's own failure domain are preferred while they have free slots. Returns `undefined` without candidates.
 *
 * @param ownDomain failure domain of the host that has the call
 * @param tieBreak a number from 0 to 1 that decides among servers with equal scores
 */
export function placePlainCall(
  candidates: readonly PlainCandidate[],
  ownDomain: string,
  tieBreak: number,
  cost?: PlainCost,
): ScoredServer | undefined {
  const scored = rankPlainServers(candidates, ownDomain, cost);
  const lowestScore = Math.min(...scored.map(({ score }) => score));
  const tied = scored.filter(({ score }) => score <= lowestScore);
  return tied[Math.min(tied.length - 1, Math.floor(tieBreak * tied.length))];
}
