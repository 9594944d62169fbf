import { readWallMs, runEvery, waitWithTimeout } from '@laburnumshift/clock';
import { createConfigFloor } from '@laburnumshift/confirm-config';
import type { BackendEntry } from '@laburnumshift/forward-types';
import { openHostChannel } from '@laburnumshift/host-channel';
import { createPieceTransferPlanner, getStoreId } from '@laburnumshift/keep-pieces';
import { createColdLimits, createServerLimits, startColdSharing } from '@laburnumshift/limit-server-rates';
import { createLogger } from '@laburnumshift/logger';
import type { OrderedStore } from '@laburnumshift/order-revisions';
import { createEventsRelay } from '@laburnumshift/relay-events';
import { createRelayedSource } from '@laburnumshift/relay-objects';
import { createLoadSharing } from '@laburnumshift/share-load';
import { createServerTracker, createServerNotices } from '@laburnumshift/track-engines';
import { trackFleet, type FleetView } from '@laburnumshift/track-fleet';
import { computeMinOutage } from './compute-min-outage.js';
import { computeWatchWaits } from './compute-watch-waits.js';
import type { ForwarderOptions } from './forwarder-options.js';
import { FORWARDER_TIMINGS } from './forwarder-timings.js';
import type { HostContext } from './host-context.js';
import type { HostRegistry } from './host-registry.js';
import { registerHost } from './register-host.js';
import type { SettledRequestHooks } from './settled-request-hooks.js';

/**
 * Starts the components that track the fleet. In large fleets, the first relay of each failure domain is its home host: it reads the cache
 * events of the engines there and of all stores, and watches the platform's object store. The second relay follows the home host in all of
 * these, so that it can replace the home host; other hosts follow only its copies of platform objects.
 */
export async function openHostContext(
  options: Pick<ForwarderOptions, 'settings' | 'decoder' | 'kinds' | 'control'>,
  store: OrderedStore,
  settledRequests: SettledRequestHooks,
  openWhenFree: <T>(open: () => Promise<T>) => Promise<T>,
): Promise<HostContext> {
  const { settings, control } = options;
  const { evacuations, ...alwaysFollowed } = options.kinds;
  // Each followed kind costs calls to the store.
  const kinds =
    evacuations === undefined || settings.bounds.evacuateMs === undefined
      ? alwaysFollowed
      : { ...alwaysFollowed, evacuations };
  const times = FORWARDER_TIMINGS;
  const logger = createLogger('host');
  const bornMs = readWallMs();
  const self = {
    host: settings.host,
    failureDomain: settings.failureDomain,
    address: settings.sharingAddress,
    size: settings.cores * Math.min(1, settings.linkMbps / times.fullSizeLinkMbps),
  };
  const channel = await openWhenFree(() => openHostChannel(settings.sharingAddress));
  const serverTracker = createServerTracker();
  const notices = createServerNotices();
  const registration: { hosts?: HostRegistry } = {};
  let isInitialized = false;
  const noPeers: [] = [];
  const listPeers: HostContext['listPeers'] = () => registration.hosts?.listPeers() ?? noPeers;
  const listStates = () => [
    ...fleet.listStates(),
    ...[registration.hosts?.readState()].flatMap((state) => state ?? []),
  ];
  const sharing = createLoadSharing({
    self,
    bornMs,
    channel,
    serverTracker,
    notices,
    listPeers,
    listObjectStates: () => (isInitialized ? listStates() : []),
    onObjectStates: (host, states, elapsedMs) => {
      if (!isInitialized || sharing.getPlan().upstream?.host !== host) return;
      if (objects.applyKindStates(states, elapsedMs)) events.pollNow();
      else events.recordUpToDate();
    },
    getSettledNumber: settledRequests.getSettled,
    onPlacementRequestsSettled: settledRequests.onSettled,
  });
  const limits = createServerLimits({
    self,
    channel,
    listPeers,
    getPlan: sharing.getPlan,
    pickRandom: Math.random,
  });
  const coldLimits = createColdLimits({
    self,
    listPeers,
    isJoined: () => registration.hosts?.readState() !== undefined,
    bounds: settings.bounds,
  });
  const objects = createRelayedSource(store.source, {
    kinds: Object.values(kinds),
    staleTolerantKinds: [kinds.hosts],
    getMaxWaitMs: () => {
      const { isRelayed, upstream } = sharing.getPlan();
      const isWatcher = isRelayed && (upstream === undefined || (isInitialized && events.hasFollowers()));
      return isWatcher ? times.relayWatchWaitMs : Infinity;
    },
    // A home that is cut off from the store follows hosts whose watches wait longer than those of a home.
    getMaxAgeMs: () =>
      sharing.getPlan().upstream === undefined && !objects.isStoreDown()
        ? times.maxHomeCopyAgeMs
        : times.maxFollowerCopyAgeMs,
    isFollower: () => sharing.getPlan().upstream !== undefined,
  });
  const hostRegistry = registerHost({
    source: objects,
    leases: store.leases,
    kind: kinds.hosts,
    self,
    isFirstStart: settings.isFirstStart,
  });
  registration.hosts = hostRegistry;
  // While the other hosts are unknown, this one would read the events of every engine.
  await waitWithTimeout(hostRegistry.whenListed, times.firstHostListTimeoutMs);
  const events = await openWhenFree(() =>
    createEventsRelay({
      control,
      serverTracker,
      address: settings.sharingAddress,
      getUpstream: () => sharing.getPlan().upstream?.address,
      getObjectsUpstream: () => sharing.getPlan().objectsUpstream?.address,
      objects,
      readObjects: (kind, after) =>
        kind === kinds.hosts ? hostRegistry.readChangesSince(after) : fleet.readObjects(kind, after),
      wantsEvents: () => {
        const { isRelayed, isRelay } = sharing.getPlan();
        return !isRelayed || isRelay;
      },
      listBackups: () => {
        const { otherRelays, reportTo } = sharing.getPlan();
        return [...otherRelays, ...reportTo].map(({ address }) => address);
      },
    }),
  );
  const watchWaits = computeWatchWaits(settings.bounds);
  const trackedFleet = trackFleet({
    source: objects,
    decoder: options.decoder,
    kinds,
    waitMs: watchWaits,
    getBatchDelayMs: () =>
      sharing.getPlan().isRelayed
        ? times.relayedBatchDelayMs
        : Math.min(watchWaits.maxBatchDelay, listPeers().length * times.batchDelayMsPerHost),
    expiryGraceMs: times.lapseGraceMs,
    minOutageMs: computeMinOutage(settings.heartbeatMs, watchWaits.backends),
    maxReturnDelayMs: Math.max(0, settings.bounds.settleMs - times.lapseGraceMs - times.sendMarginMs),
  });
  const configFloor = createConfigFloor({
    self,
    channel,
    listPeers,
    getPlan: sharing.getPlan,
    era: store.era,
    isFirstStart: settings.isFirstStart,
    getConfigVersion: () => trackedFleet.getConfig()?.version,
    getConfigAgeMs: trackedFleet.getConfigAgeMs,
  });
  const coldSharing = startColdSharing({
    self,
    channel,
    listPeers,
    getPlan: sharing.getPlan,
    onCold: trackedFleet.markCold,
  });
  const fleet: FleetView = {
    ...trackedFleet,
    // A restored store confirms a configuration that other hosts know to be replaced.
    getConfigAgeMs: configFloor.getAgeMs,
    markCold: (server, coldMs) => {
      const isNews = trackedFleet.markCold(server, coldMs);
      if (isNews) coldSharing.sendCold(server, coldMs);
      return isNews;
    },
  };
  isInitialized = true;

  /** A home host reads the engines of its failure domain directly; in small fleets every host reads all engines. */
  const isReadByThisHost = ({ versions, failureDomain }: BackendEntry): boolean =>
    versions.size > 0 && (!sharing.getPlan().isRelayed || failureDomain === self.failureDomain);
  const updateReading = (entry: BackendEntry): void => {
    if (isReadByThisHost(entry)) events.startReading(entry.id, entry.address, times.engineEventsIntervalMs);
    else events.stopReading(entry.id);
  };
  fleet.watchConfig(events.notifyChanged);
  fleet.watchWeights(events.notifyChanged);
  fleet.watchBackends((id, entry) => {
    events.notifyChanged();
    if (entry === undefined) {
      events.stopReading(id);
      serverTracker.removeServer(id);
      limits.removeServer(id);
      coldLimits.removeServer(id);
    } else updateReading(entry);
  });
  const stopRoleChecks = runEvery(
    times.roleCheckIntervalMs,
    () => {
      for (const entry of fleet.listAllBackends()) updateReading(entry);
    },
    (error) => {
      logger.error('updating the engines to read failed', { detail: String(error) });
    },
  );
  control.watchLeaving((address) => {
    const server = fleet.listAllBackends().find((entry) => entry.address === address);
    if (server !== undefined) notices.markLeaving(server);
  });
  control.watchCold((address, coldMs) => {
    const server = fleet.listAllBackends().find((entry) => entry.address === address);
    if (server !== undefined) fleet.markCold(server, coldMs);
  });
  const transferPlanner = createPieceTransferPlanner({ serverTracker, events, fleet, control });
  const storeIds = new Set<string>();
  fleet.watchConfig((config) => {
    const ids = new Map(config.stores.map((cacheStore) => [getStoreId(cacheStore), cacheStore.address]));
    for (const id of storeIds) if (!ids.has(id)) events.stopReading(id);
    storeIds.clear();
    for (const [id, address] of ids) {
      storeIds.add(id);
      events.startReading(id, address, times.storeEventsIntervalMs);
    }
  });

  return {
    self,
    bornMs,
    channel,
    serverTracker,
    notices,
    sharing,
    fleet,
    events,
    limits,
    coldLimits,
    transferPlanner,
    listPeers,
    isJoined: () => hostRegistry.readState() !== undefined,
    close: () => {
      stopRoleChecks();
      events.close();
      sharing.close();
      limits.close();
      coldSharing.close();
      configFloor.close();
      hostRegistry.close();
      fleet.close();
      channel.close();
    },
  };
}
