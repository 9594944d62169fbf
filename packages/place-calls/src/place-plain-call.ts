import type { PlainCandidate } from './plain-candidate.js';

/** Penalty for a failure share of 1, as load in shares of the slots. */
const FAILURE_PENALTY = 6;
/** Penalty for a silent server, as load in shares of the slots. */
const SILENCE_PENALTY = 4;
/** Penalty for a server of another failure domain, as load in shares of the slots: about one in two free slots. */
const REMOTE_DOMAIN_PENALTY = 0.4;

/**
 * Chooses the least loaded server of a plain service, which runs no model. Servers of the host's own failure domain are preferred
 * while they have free slots. Returns `undefined` without candidates.
 *
 * @param ownDomain failure domain of the host that has the call
 * @param tieBreak a number from 0 to 1 that decides among servers with equal scores
 */
export function placePlainCall(
  candidates: readonly PlainCandidate[],
  ownDomain: string,
  tieBreak: number,
): PlainCandidate | undefined {
  const computeScore = (server: PlainCandidate): number =>
    ((server.calls + 1) / Math.max(1, server.slots)) * (server.slowness ?? 1) +
    server.failureShare * FAILURE_PENALTY +
    (server.isSilent ? SILENCE_PENALTY : 0) +
    (server.failureDomain === ownDomain ? 0 : REMOTE_DOMAIN_PENALTY);
  const scored = candidates.map((server) => ({ server, score: computeScore(server) }));
  const lowestScore = Math.min(...scored.map(({ score }) => score));
  const tied = scored.filter(({ score }) => score <= lowestScore);
  return tied[Math.min(tied.length - 1, Math.floor(tieBreak * tied.length))]?.server;
}
