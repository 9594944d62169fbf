import type { BackendEntry, PlacementRequest } from '@laburnumshift/forward-types';
import {
  estimateCapacity,
  isFullServer,
  placePlainCall,
  rankPlainServers,
  type PlainCandidate,
} from '@laburnumshift/place-calls';
import { buildRefusal } from './build-refusal.js';
import type { ServerChoice } from './server-choice.js';
import type { ChoiceDeps } from './choice-deps.js';
import { CHOICE_TIMES } from './choice-times.js';
import { countOtherCalls } from './count-other-calls.js';
import { estimateOutstandingMs } from './estimate-outstanding-ms.js';
import { REFUSAL_CAUSES } from './refusal-causes.js';
import { RULED_OUT_REASONS } from './ruled-out-reasons.js';

/**
 * Chooses the server for a call of a plain service, which runs no model. Servers that would refuse the call because they are full are
 * passed over; when all are, the call waits until one is expected to have capacity, or is refused by the queue.
 */
export function choosePlainServer(
  deps: ChoiceDeps,
  request: PlacementRequest,
  servers: readonly BackendEntry[],
): ServerChoice {
  const states = servers.map((server) => ({ server, state: deps.serverTracker.getState(server.id) }));
  // Where servers do not say how slow they are, calls at a slow one would seem to be nearly done.
  const isCostUsed = states.some(({ state }) => state.isSlownessKnown);
  const serviceMs = deps.costs?.getServiceMs(request.service) ?? request.costMs;
  const meanMs = isCostUsed ? serviceMs : undefined;
  // Servers of a service are alike, so each one need not refuse a call before the size of its queue is known.
  const knownLimits = states.flatMap(({ state }) => state.queueLimit ?? []);
  const assumedLimit = knownLimits.length > 0 ? Math.max(...knownLimits) : undefined;
  const candidates = states.map(({ server, state }): PlainCandidate => {
    const { id, failureDomain, slots } = server;
    const calls = state.inFlight + countOtherCalls(deps, id, state);
    return {
      id,
      failureDomain,
      calls,
      slots,
      slowness: state.slowness,
      queueLimit: state.queueLimit ?? assumedLimit,
      outstandingMs: meanMs === undefined ? undefined : estimateOutstandingMs(deps, server, calls, meanMs),
      failureShare: state.failureShare,
      isSilent: state.silentMs >= CHOICE_TIMES.silentMs,
    };
  });
  const open = candidates.filter((candidate) => !isFullServer(candidate, request.priority));
  if (open.length < candidates.length)
    deps.recordFullServers?.(request.service, candidates.length - open.length);
  deps.trace?.recordRuledOut(
    candidates.filter((candidate) => !open.includes(candidate)),
    RULED_OUT_REASONS.full,
  );
  if (open.length === 0 && candidates.length > 0)
    return { kind: 'wait', room: estimateCapacity(candidates, serviceMs) };
  const cost = meanMs === undefined ? undefined : { callMs: request.costMs ?? meanMs, meanMs };
  deps.trace?.recordScores(rankPlainServers(open, request.failureDomain, cost));
  const chosen = placePlainCall(open, request.failureDomain, deps.pickRandom(), cost);
  const server = servers.find(({ id }) => id === chosen?.id);
  if (chosen === undefined || server === undefined)
    return buildRefusal(REFUSAL_CAUSES.noServer, CHOICE_TIMES.noServerRetryMs);
  return {
    kind: 'server',
    server,
    uncachedTokens: 0,
    queueTokens: 0,
    expectedMs: chosen.expectedMs,
    memoryShare: undefined,
    fetch: undefined,
    transfers: undefined,
    version: undefined,
  };
}
