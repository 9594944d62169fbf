import { randomUUID } from 'node:crypto';
import http from 'node:http';
import { computeElapsedMs, readMoment, readMonotonicMs, startLoop } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { applyCacheChange, readCacheEvents, type CacheChange } from '@laburnumshift/read-cache-events';
import { createChangeLog } from './create-change-log.js';
import { createChangeNotifier } from './create-change-notifier.js';
import { createReplicatedPieceFilter } from './create-replicated-piece-filter.js';
import { decodeChanges } from './decode-changes.js';
import { decodeObjects } from './decode-objects.js';
import { encodeChanges } from './encode-changes.js';
import { encodeObjects } from './encode-objects.js';
import { fetchRelayPage } from './fetch-relay-page.js';
import type { EventsRelay } from './events-relay.js';
import type { EventsRelayOptions } from './events-relay-options.js';
import type { RelayPage } from './relay-page.js';
import { RELAY_TIMING } from './relay-timing.js';
import { serveRelayPages } from './serve-relay-pages.js';

/** An engine or store whose events are read. */
interface ReadTarget {
  readonly address: string;
  readonly pauseMs: number;
}

/**
 * Creates a reader of cache events that hosts share, together with the platform objects that they follow. A position in the log
 * of a relay is valid only within one relay process (`life`). After a restart or a gap, the page is a snapshot of all pieces that
 * were seen on at least two engines.
 */
export async function createEventsRelay(options: EventsRelayOptions): Promise<EventsRelay> {
  const { serverTracker, getUpstream, objects, wantsEvents = () => true, listBackups = () => [] } = options;
  const { getObjectsUpstream = () => undefined } = options;
  const logger = createLogger('relay');
  const life = randomUUID();
  const log = createChangeLog();
  const filter = createReplicatedPieceFilter();
  const directReader = readCacheEvents({
    control: options.control,
    serverTracker,
    onChange: (change) => {
      for (const forwarded of filter.filterChange(change)) log.addChange(forwarded);
    },
  });
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const backupAgent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const notifier = createChangeNotifier(options);
  /** Number of requests to backups that brought no recent objects; selects the backup to ask next. */
  let backupFailures = 0;
  /** When the upstream host last confirmed that it has no further changes, monotonic milliseconds. */
  let lastConfirmedMs = -Infinity;
  const sources = new Map<string, ReadTarget>();
  /** Whether this host reads the engines itself instead of following the upstream relay. */
  let isDirect = false;
  /** When another host last requested events, monotonic milliseconds. */
  let lastRequestMs = -Infinity;
  /** Last page of the upstream relay, and the boot ids that its pages have named. */
  let lastReceived:
    { readonly page: RelayPage; readonly bootIds: Map<string, string>; readonly atMs: number } | undefined;
  let currentUpstream: string | undefined;
  let upstreamSinceMs = 0;
  /** Whether the last request to the upstream relay failed. */
  let isUpstreamDown = false;

  const buildSnapshot = (): CacheChange[] =>
    [...sources.keys()].flatMap((engine) => {
      const bootId = directReader.getBootId(engine);
      if (bootId === undefined) return [];
      const pieces = serverTracker.getPieceTable(engine);
      const events = pieces
        .listPieces(() => true)
        .filter(({ scope, piece }) => filter.isReplicated(scope, piece))
        .map((piece) => ({ ...piece, isAdded: true, tokens: pieces.getTokens(piece.scope, piece.piece) }));
      return [{ engine, bootId, isCleared: true, events }];
    });
  const buildPage = (
    requestedLife: string,
    since: number,
    wanted: readonly (readonly [string, number])[],
    hasEvents: boolean,
  ): RelayPage => {
    if (hasEvents) lastRequestMs = readMonotonicMs();
    const changes = hasEvents
      ? ((requestedLife === life ? log.listSince(since) : undefined) ?? buildSnapshot())
      : [];
    return {
      life,
      next: log.getNextPosition(),
      clockMs: directReader.readClockMs() ?? null,
      reading: hasEvents ? [...sources.keys()].filter(directReader.isReading) : [],
      ...encodeChanges(changes),
      heldMs: 0,
      isStoreDown: objects.isStoreDown(),
      objects: encodeObjects(wanted, options.readObjects),
    };
  };
  const applyPage = (page: RelayPage, changes: readonly CacheChange[]): void => {
    const bootIds = lastReceived?.page.life === page.life ? lastReceived.bootIds : new Map<string, string>();
    for (const change of changes) {
      bootIds.set(change.engine, change.bootId);
      applyCacheChange(serverTracker.getPieceTable(change.engine), change);
    }
    lastReceived = { page, bootIds, atMs: readMonotonicMs() };
  };
  const hasFollowers = (): boolean => readMonotonicMs() - lastRequestMs < RELAY_TIMING.followerTimeoutMs;
  const hasFreshPage = (): boolean =>
    lastReceived !== undefined && readMonotonicMs() - lastReceived.atMs < RELAY_TIMING.staleAfterMs;
  const setDirect = (value: boolean, reason: string): void => {
    if (value === isDirect) return;
    isDirect = value;
    logger.info(value ? 'reading engines' : 'following a relay', {
      reason,
      sources: sources.size,
      followed: currentUpstream,
    });
    for (const [engine, { address, pauseMs }] of sources) {
      if (value) directReader.startReading(engine, address, pauseMs);
      else directReader.stopReading(engine);
    }
  };
  const applyObjects = (page: RelayPage, elapsedMs: number): boolean =>
    objects.applyRelayedChanges(decodeObjects(page.objects), elapsedMs);
  /** Used while the store does not answer this host: probes it, and fetches objects from a backup that may have newer ones. */
  const pollBackups = async (): Promise<void> => {
    void objects.probeStore();
    const backups = listBackups();
    const backup = backups[backupFailures % Math.max(1, backups.length)];
    if (backup === undefined) return;
    const sent = readMoment();
    const page = await fetchRelayPage(backupAgent, backup, '', 0, objects.listWantedKinds(), false);
    // A backup that answers may itself be cut off from the store, or follow a host that is.
    if (typeof page === 'string' || !applyObjects(page, computeElapsedMs(sent))) backupFailures += 1;
  };
  const updateRole = (upstream: string | undefined): void => {
    if (upstream !== currentUpstream) {
      currentUpstream = upstream;
      upstreamSinceMs = readMonotonicMs();
      lastConfirmedMs = -Infinity;
    }
    if (!wantsEvents()) {
      setDirect(false, 'another host places the calls of this one');
      return;
    }
    if (hasFollowers()) setDirect(true, 'asked by other hosts');
    else if (upstream === undefined) setDirect(true, 'no relay before this host');
    else if (!hasFreshPage() && readMonotonicMs() - upstreamSinceMs > RELAY_TIMING.staleAfterMs)
      setDirect(true, 'relay does not answer');
  };
  const pollOnce = async (): Promise<void> => {
    const upstream = getUpstream();
    updateRole(upstream);
    const target = upstream ?? getObjectsUpstream();
    // Other hosts may read from this host although it has an upstream; it then reads the engines itself.
    if (target === undefined || (upstream !== undefined && hasFollowers())) {
      if (objects.isStoreDown()) await pollBackups();
      else objects.stopFollowing('this host reads itself');
      return;
    }
    const hasEvents = upstream !== undefined && wantsEvents();
    if (
      upstream !== undefined &&
      !hasEvents &&
      readMonotonicMs() - lastConfirmedMs < RELAY_TIMING.confirmationTimeoutMs
    )
      return;
    const sent = readMoment();
    const position = [lastReceived?.page.life ?? '', lastReceived?.page.next ?? 0] as const;
    // A host that reads engines itself places calls, so it long-polls for changes; other hosts are notified.
    const waitMs = upstream === undefined ? RELAY_TIMING.objectsLongPollMs : 0;
    const page = await fetchRelayPage(
      agent,
      target,
      ...position,
      objects.listWantedKinds(),
      hasEvents,
      waitMs,
    );
    const changes = typeof page === 'string' ? undefined : decodeChanges(page);
    if (typeof page === 'string' || changes === undefined) {
      objects.stopFollowing('no page from the relay');
      const reason = typeof page === 'string' ? page : 'the parts of the page do not fit together';
      if (!isUpstreamDown) logger.warn('no page from the relay', { target, reason });
      isUpstreamDown = true;
      return;
    }
    if (isUpstreamDown) logger.info('relay responds again', { target });
    isUpstreamDown = false;
    lastConfirmedMs = readMonotonicMs();
    if (upstream !== undefined && hasFollowers()) return;
    if (upstream === undefined && page.isStoreDown) {
      objects.stopFollowing('the store does not answer the host either');
      if (objects.isStoreDown()) await pollBackups();
      return;
    }
    if (hasEvents) {
      setDirect(false, 'relay answers');
      applyPage(page, changes);
    }
    applyObjects(page, Math.max(0, computeElapsedMs(sent) - page.heldMs));
  };
  const server = await serveRelayPages(options.address, buildPage, notifier.waitForChanges);
  const loop = startLoop(
    () => {
      if (!wantsEvents()) return RELAY_TIMING.confirmationTimeoutMs;
      return getUpstream() === undefined && getObjectsUpstream() !== undefined
        ? RELAY_TIMING.notifyDelayMs
        : RELAY_TIMING.pollIntervalMs;
    },
    pollOnce,
    (error) => {
      logger.error('polling the relay failed', { detail: String(error) });
    },
  );

  return {
    startReading: (engine, address, pauseMs) => {
      if (sources.has(engine)) return;
      sources.set(engine, { address, pauseMs });
      if (isDirect) directReader.startReading(engine, address, pauseMs);
    },
    stopReading: (engine) => {
      sources.delete(engine);
      directReader.stopReading(engine);
    },
    isReading: (engine) =>
      isDirect
        ? directReader.isReading(engine)
        : hasFreshPage() && lastReceived?.page.reading.includes(engine) === true,
    getBootId: (engine) => (isDirect ? directReader.getBootId(engine) : lastReceived?.bootIds.get(engine)),
    readClockMs: () => {
      if (isDirect || lastReceived === undefined) return directReader.readClockMs();
      const { page, atMs } = lastReceived;
      return page.clockMs === null ? undefined : page.clockMs + readMonotonicMs() - atMs;
    },
    hasFollowers,
    notifyChanged: notifier.notifyChanged,
    pollNow: () => {
      lastConfirmedMs = -Infinity;
      loop.runNow();
    },
    recordUpToDate: () => {
      lastConfirmedMs = readMonotonicMs();
    },
    close: () => {
      loop.stop();
      directReader.close();
      server.close();
      server.closeAllConnections();
      agent.destroy();
      backupAgent.destroy();
    },
  };
}
