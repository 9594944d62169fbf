import { isUsableServer, REFUSAL_CAUSES, type ServerChoice } from '@laburnumshift/choose-server';
import { readMonotonicMs, sleep, startTimer } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { estimateWork } from './estimate-work.js';
import type { PlacementAnswer } from './placement-answer.js';
import type { CallPlacer } from './call-placer.js';
import type { CallPlacerOptions } from './call-placer-options.js';
import { PLACEMENT_TIMING } from './placement-timing.js';

/** Refusals of the home host after which this host decides itself. */
const LOCALLY_DECIDED_CAUSES: ReadonlySet<string> = new Set([
  REFUSAL_CAUSES.allExcluded,
  REFUSAL_CAUSES.resendBudgetUsedUp,
]);

/**
 * Creates the placer of a host. It accepts the server chosen by the home host only if the host's own data do not rule that server out. A
 * home host with wrong or outdated data can therefore delay calls but cannot violate a bound.
 */
export function createCallPlacer({
  choiceDeps,
  fleet,
  homeClient,
  placementQueue,
  hasRemoteHome,
  reserveWork,
  metrics,
}: CallPlacerOptions): CallPlacer {
  const resolveAnswer = (
    request: PlacementRequest,
    answer: PlacementAnswer | undefined,
  ): ServerChoice | undefined => {
    if (answer === undefined || answer.kind === 'unready') return undefined;
    // This host may know a server that the home host does not, and has a resend budget of its own.
    if (answer.kind === 'refuse') return LOCALLY_DECIDED_CAUSES.has(answer.cause) ? undefined : answer;
    if (answer.kind !== 'server') return answer;
    const server = fleet.getBackend(answer.server);
    if (server?.bornMs !== answer.bornMs || server.service !== request.service) return undefined;
    const requiredWeights = request.prompt && { model: request.prompt.model, version: answer.version };
    if (request.excluded.includes(server.id) || !isUsableServer(choiceDeps, server, requiredWeights))
      return undefined;
    const knownVersion = request.prompt === undefined ? undefined : server.versions.get(request.prompt.model);
    const version = answer.version === undefined ? knownVersion : Math.max(answer.version, knownVersion ?? 0);
    return { ...answer, server, version };
  };
  const decideLocally = (request: PlacementRequest, signal: AbortSignal): Promise<ServerChoice | undefined> =>
    new Promise((resolve) => {
      const handleAbort = (): void => {
        resolve(undefined);
      };
      signal.addEventListener('abort', handleAbort);
      placementQueue.submitPlacementRequest(request, (choice) => {
        signal.removeEventListener('abort', handleAbort);
        // Other calls may be decided before this call starts, so its work counts until the next turn of the event loop.
        if (choice.kind === 'server' && !signal.aborted)
          startTimer(0, reserveWork(choice.server.id, estimateWork(request, choice)));
        resolve(choice);
      });
    });

  return {
    placeCall: async (buildPlacementRequest, signal) => {
      for (;;) {
        if (signal.aborted) return undefined;
        const startedMs = readMonotonicMs();
        const request = buildPlacementRequest();
        const isHomeAsked = hasRemoteHome();
        const answer = isHomeAsked ? await homeClient.askHome(request, signal) : undefined;
        const homeChoice = resolveAnswer(request, answer);
        const choice = homeChoice ?? (await decideLocally(buildPlacementRequest(), signal));
        if (choice === undefined) return undefined;
        if (choice.kind === 'wait') {
          // A full queue answers at once. Asking it again without a pause would block the event loop.
          await sleep(startedMs + PLACEMENT_TIMING.maxQueueMs - readMonotonicMs(), signal);
          continue;
        }
        const by = homeChoice !== undefined ? 'home' : isHomeAsked ? 'alone' : 'here';
        metrics.addToCounter('call_placements_total', { by });
        return choice;
      }
    },
  };
}
