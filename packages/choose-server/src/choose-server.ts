import type { PlacementRequest } from '@laburnumshift/forward-types';
import { buildRefusal } from './build-refusal.js';
import type { ServerChoice } from './server-choice.js';
import type { ChoiceDeps } from './choice-deps.js';
import { CHOICE_TIMES } from './choice-times.js';
import { chooseEngine } from './choose-engine.js';
import { choosePlainServer } from './choose-plain-server.js';
import { isReadmitted } from './is-readmitted.js';
import { REFUSAL_CAUSES } from './refusal-causes.js';

/**
 * Chooses the server for the next attempt of a call. Leaving servers, servers of evacuated failure domains and servers that asked this
 * host for a pause get no calls; those of a failure domain whose evacuation ended get a growing part of them.
 * A call waits while all servers are at the limits that they state. Servers that asked another host for a pause, or recently refused or
 * reset connections, are used only when no others are left.
 */
export function chooseServer(deps: ChoiceDeps, request: PlacementRequest): ServerChoice {
  const staying = deps.fleet
    .listBackends(request.service)
    .map((server) => ({ server, availability: deps.notices.getAvailability(server) }))
    .filter(({ availability }) => !availability.isLeaving);
  if (staying.length === 0 && deps.fleet.listEvacuated(request.service).length > 0)
    return buildRefusal(REFUSAL_CAUSES.allEvacuated, CHOICE_TIMES.noServerRetryMs);
  const open = staying.filter(({ availability }) => availability.pauseMs === 0);
  if (open.length === 0 && staying.length > 0) {
    const retryAfterMs = Math.ceil(Math.min(...staying.map(({ availability }) => availability.pauseMs)));
    return buildRefusal(REFUSAL_CAUSES.allPaused, retryAfterMs);
  }
  const excluded = new Set(request.excluded);
  const untried = open.filter(({ server }) => !excluded.has(server.id));
  const readmitted = untried.filter(({ server }) => isReadmitted(server, request.callId));
  const roomy = (readmitted.length > 0 ? readmitted : untried).filter(({ server }) =>
    deps.limits.hasRoom(server),
  );
  if (roomy.length === 0 && untried.length > 0)
    return { kind: 'wait', room: deps.limits.estimateRoom(untried.map(({ server }) => server)) };
  const isPreferred = ({ server, availability }: (typeof roomy)[number]): boolean =>
    !availability.isPausedElsewhere && !deps.serverTracker.getState(server.id).isAvoided;
  const preferred = roomy.filter(isPreferred);
  const servers = (preferred.length > 0 ? preferred : roomy).map(({ server }) => server);
  if (servers.length === 0) {
    const cause = staying.length === 0 ? REFUSAL_CAUSES.noServer : REFUSAL_CAUSES.allExcluded;
    return buildRefusal(cause, CHOICE_TIMES.noServerRetryMs);
  }
  const { prompt } = request;
  const engine = deps.fleet.getConfig()?.services.get(request.service)?.engine;
  const choice =
    prompt === undefined || engine === undefined
      ? choosePlainServer(deps, request, servers)
      : chooseEngine(deps, { ...request, prompt, engine }, servers);
  if (choice.kind === 'server') deps.limits.takeRoom(choice.server);
  return choice;
}
