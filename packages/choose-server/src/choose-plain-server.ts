import type { BackendEntry, PlacementRequest } from '@laburnumshift/forward-types';
import { placePlainCall } from '@laburnumshift/place-calls';
import { buildRefusal } from './build-refusal.js';
import type { ServerChoice } from './server-choice.js';
import type { ChoiceDeps } from './choice-deps.js';
import { CHOICE_TIMES } from './choice-times.js';
import { countOtherCalls } from './count-other-calls.js';
import { REFUSAL_CAUSES } from './refusal-causes.js';

/** Chooses the server for a call of a plain service, which runs no model. */
export function choosePlainServer(
  deps: ChoiceDeps,
  request: PlacementRequest,
  servers: readonly BackendEntry[],
): ServerChoice {
  const candidates = servers.map(({ id, failureDomain, slots }) => {
    const state = deps.serverTracker.getState(id);
    return {
      id,
      failureDomain,
      calls: state.inFlight + countOtherCalls(deps, id, state),
      slots,
      slowness: state.slowness,
      failureShare: state.failureShare,
      isSilent: state.silentMs >= CHOICE_TIMES.silentMs,
    };
  });
  const chosen = placePlainCall(candidates, request.failureDomain, deps.pickRandom());
  const server = servers.find(({ id }) => id === chosen?.id);
  if (server === undefined) return buildRefusal(REFUSAL_CAUSES.noServer, CHOICE_TIMES.noServerRetryMs);
  return {
    kind: 'server',
    server,
    uncachedTokens: 0,
    queueTokens: 0,
    expectedMs: 0,
    memoryShare: undefined,
    fetch: undefined,
    transfers: undefined,
    version: undefined,
  };
}
