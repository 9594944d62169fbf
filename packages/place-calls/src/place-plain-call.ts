import type { PlainCandidate } from './plain-candidate.js';

/** Load, in shares of the slots, that a failure share of 1 counts for. */
const FAILURE_LOAD = 6;
const SILENT_LOAD = 4;
/** Load that another failure domain counts for: one in two free slots. */
const DOMAIN_LOAD = 0.4;

/**
 * Chooses the least loaded server of a plain service; servers of the own failure domain go first while they have free slots.
 *
 * @param tieBreak 0 to 1, decides among equals
 */
export function placePlainCall(
  candidates: readonly PlainCandidate[],
  ownDomain: string,
  tieBreak: number,
): PlainCandidate | undefined {
  const computeScore = (server: PlainCandidate): number =>
    (server.calls + 1) / Math.max(1, server.slots) +
    server.failureShare * FAILURE_LOAD +
    (server.isSilent ? SILENT_LOAD : 0) +
    (server.failureDomain === ownDomain ? 0 : DOMAIN_LOAD);
  const rated = candidates.map((server) => ({ server, score: computeScore(server) }));
  const least = Math.min(...rated.map(({ score }) => score));
  const equals = rated.filter(({ score }) => score <= least);
  return equals[Math.min(equals.length - 1, Math.floor(tieBreak * equals.length))]?.server;
}
