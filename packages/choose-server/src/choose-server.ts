import type { BackendEntry, PlacementRequest } from '@laburnumshift/forward-types';
import { buildRefusal } from './build-refusal.js';
import type { ServerChoice } from './server-choice.js';
import type { ChoiceDeps } from './choice-deps.js';
import { CHOICE_TIMES } from './choice-times.js';
import { chooseEngine } from './choose-engine.js';
import { choosePlainServer } from './choose-plain-server.js';
import { splitByRoom } from './split-by-room.js';
import { isReadmitted } from './is-readmitted.js';
import { REFUSAL_CAUSES } from './refusal-causes.js';
import { RULED_OUT_REASONS } from './ruled-out-reasons.js';

/**
 * Chooses the server for the next attempt of a call. Leaving servers, servers of evacuated failure domains and servers that asked this
 * host for a pause get no calls; those of a failure domain whose evacuation ended get a growing part of them.
 * A call waits while all servers are at the limits that they state or are cold and at their rate; cold ones get calls that no warm one
 * takes. Servers that asked another host for a pause, or recently refused or
 * reset connections, are used only when no others are left.
 */
export function chooseServer(deps: ChoiceDeps, request: PlacementRequest): ServerChoice {
  const { trace } = deps;
  const listed = deps.fleet
    .listBackends(request.service)
    .map((server) => ({ server, availability: deps.notices.getAvailability(server) }));
  const staying = listed.filter(({ availability }) => !availability.isLeaving);
  trace?.recordRuledOut(
    listed.filter(({ availability }) => availability.isLeaving).map(({ server }) => server),
    RULED_OUT_REASONS.leaving,
  );
  if (staying.length === 0 && deps.fleet.listEvacuated(request.service).length > 0)
    return buildRefusal(REFUSAL_CAUSES.allEvacuated, CHOICE_TIMES.noServerRetryMs);
  const open = staying.filter(({ availability }) => availability.pauseMs === 0);
  trace?.recordRuledOut(
    staying.filter(({ availability }) => availability.pauseMs > 0).map(({ server }) => server),
    RULED_OUT_REASONS.paused,
  );
  if (open.length === 0 && staying.length > 0) {
    const retryAfterMs = Math.ceil(Math.min(...staying.map(({ availability }) => availability.pauseMs)));
    return buildRefusal(REFUSAL_CAUSES.allPaused, retryAfterMs);
  }
  const excluded = new Set(request.excluded);
  const untried = open.filter(({ server }) => !excluded.has(server.id));
  const readmitted = untried.filter(({ server }) => isReadmitted(server, request.callId));
  const service = deps.fleet.getConfig()?.services.get(request.service);
  const candidates = readmitted.length > 0 ? readmitted : untried;
  trace?.recordRuledOut(
    open.filter((entry) => !untried.includes(entry)).map(({ server }) => server),
    RULED_OUT_REASONS.excluded,
  );
  trace?.recordRuledOut(
    untried.filter((entry) => !candidates.includes(entry)).map(({ server }) => server),
    RULED_OUT_REASONS.readmitted,
  );
  const { warm, cold, estimateRoom } = splitByRoom(
    deps,
    candidates.map(({ server }) => server),
    service?.coldPerS,
  );
  if (warm.length + cold.length === 0 && candidates.length > 0) return { kind: 'wait', room: estimateRoom() };
  if (candidates.length === 0) {
    const cause = staying.length === 0 ? REFUSAL_CAUSES.noServer : REFUSAL_CAUSES.allExcluded;
    return buildRefusal(cause, CHOICE_TIMES.noServerRetryMs);
  }
  const pausedElsewhere = new Set(
    candidates.filter(({ availability }) => availability.isPausedElsewhere).map(({ server: { id } }) => id),
  );
  const isPreferred = ({ id }: BackendEntry): boolean =>
    !pausedElsewhere.has(id) && !deps.serverTracker.getState(id).isAvoided;
  const chooseAmong = (servers: readonly BackendEntry[]): ServerChoice => {
    const preferred = servers.filter(isPreferred);
    const usable = preferred.length > 0 ? preferred : servers;
    trace?.recordRuledOut(
      servers.filter((server) => !usable.includes(server)),
      RULED_OUT_REASONS.avoided,
    );
    const { prompt } = request;
    const engine = service?.engine;
    return prompt === undefined || engine === undefined
      ? choosePlainServer(deps, request, usable)
      : chooseEngine(deps, { ...request, prompt, engine }, usable);
  };
  const firstChoice = chooseAmong(warm.length > 0 ? warm : cold);
  const needsCold = firstChoice.kind !== 'server' && warm.length > 0 && cold.length > 0;
  if (warm.length > 0 && !needsCold) trace?.recordRuledOut(cold, RULED_OUT_REASONS.cold);
  const coldChoice = needsCold ? chooseAmong(cold) : undefined;
  const choice = coldChoice?.kind === 'server' ? coldChoice : firstChoice;
  if (choice.kind === 'server') {
    deps.limits.takeRoom(choice.server);
    if (cold.includes(choice.server)) deps.coldLimits.takeRoom(choice.server);
  }
  return choice;
}
