import {
  createHomeClient,
  createCallPlacer,
  createPlacementQueue,
  servePlacementRequests,
  type HomeClient,
} from '@laburnumshift/ask-home';
import { chooseServer, type ChoiceDeps } from '@laburnumshift/choose-server';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { EngineControl, ForwardBounds } from '@laburnumshift/forward-types';
import { addLoads, addWork, type PeerHost } from '@laburnumshift/share-load';
import { createPlacementExplainer } from './create-placement-explainer.js';
import { FORWARDER_TIMINGS } from './forwarder-timings.js';
import type { HostContext } from './host-context.js';
import { isHomeReady } from './is-home-ready.js';
import type { OpenedPlacement } from './opened-placement.js';
import type { PlacementDependencies } from './placement-dependencies.js';

/**
 * Starts the placement of calls, that is, the choice of a server for each call. In large fleets one host, the home host, places all calls
 * of its failure domain, and the other hosts there send it their requests.
 */
export function openPlacement(
  context: HostContext,
  { reservations, costs, resends, homeResends, metrics }: PlacementDependencies,
  bounds: ForwardBounds,
  control: Pick<EngineControl, 'freePieces'>,
  onHomeClient: (homeClient: HomeClient) => void,
): OpenedPlacement {
  const { self, bornMs, channel, sharing, fleet, events, limits } = context;
  /** Monotonic time at which this host became the first relay of its failure domain, in milliseconds. */
  let homeSinceMs: number | undefined;
  const isHome = (): boolean => {
    const { isRelayed, upstream } = sharing.getPlan();
    const isFirstRelay = isRelayed && upstream === undefined;
    homeSinceMs = isFirstRelay ? (homeSinceMs ?? readMonotonicMs()) : undefined;
    return isFirstRelay;
  };
  const listHomes = (): readonly PeerHost[] => {
    const { isRelayed, upstream, reportTo } = sharing.getPlan();
    if (!isRelayed || upstream === undefined) return [];
    return [upstream, ...reportTo.filter(({ host }) => host !== upstream.host)];
  };
  const isReady = (): boolean => {
    const engines = fleet
      .listAllBackends()
      .filter(({ versions, failureDomain }) => versions.size > 0 && failureDomain === self.failureDomain);
    return isHomeReady({
      isComplete: fleet.isComplete(),
      engines: engines.length,
      readEngines: engines.filter(({ id }) => events.isReading(id)).length,
      homeDurationMs: isHome() && homeSinceMs !== undefined ? readMonotonicMs() - homeSinceMs : undefined,
      isRelay: sharing.getPlan().isRelay,
      settleMs: FORWARDER_TIMINGS.homeSettleMs,
    });
  };
  const choiceDependencies = {
    ...context,
    bounds,
    sharing: {
      countCoveredHosts: sharing.countCoveredHosts,
      countReportingHosts: sharing.countReportingHosts,
      getLoadOfOthers: (server) => addLoads(sharing.getLoadOfOthers(server), reservations.getLoad(server)),
      getWorkOfOthers: (server) => addWork(sharing.getWorkOfOthers(server), reservations.getWork(server)),
    },
    costs,
    recordFullServers: (service, servers) => {
      metrics.addToCounter('full_servers_skipped_total', { service }, servers);
    },
    pickRandom: Math.random,
    getHomeDomain: () => (sharing.getPlan().isRelay ? self.failureDomain : undefined),
  } satisfies ChoiceDeps;
  const homeClient = createHomeClient({
    channel,
    host: self.host,
    bornMs,
    listHomes,
    onTimeout: sharing.markRelaySuspect,
  });
  onHomeClient(homeClient);
  const placementQueue = createPlacementQueue({
    metrics,
    chooseServer: (request, getReservedTokens) =>
      chooseServer({ ...choiceDependencies, getReservedTokens }, request),
    recordFirstAttempt: (service) => {
      homeResends.recordCall(service);
      limits.recordCall(service);
    },
    takeResend: (service) =>
      (sharing.getPlan().isRelay && homeResends.takeResend(service)) || resends.takeResend(service),
  });
  servePlacementRequests({
    channel,
    host: self.host,
    bornMs,
    placementQueue,
    reservations,
    isReady,
    isRegistered: (host, address) =>
      context.listPeers().some((peer) => peer.host === host && peer.address === address),
  });
  let reservationCount = 0;
  const placer = createCallPlacer({
    choiceDeps: choiceDependencies,
    fleet,
    homeClient,
    placementQueue,
    metrics,
    reserveWork: (server, work) => {
      reservationCount += 1;
      return reservations.addReservation(self.host, bornMs, reservationCount, server, work);
    },
    hasRemoteHome: () => listHomes().length > 0,
  });
  const explainPlacement = createPlacementExplainer({
    choiceDeps: choiceDependencies,
    fleet,
    events,
    control,
    sharing,
    placementQueue,
    homeClient,
  });
  return { placer, explainPlacement };
}
