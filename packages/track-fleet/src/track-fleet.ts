import { isDeepStrictEqual } from 'node:util';
import {
  computeElapsedMs,
  readMoment,
  readMonotonicMs,
  readWallMs,
  startTimer,
  type Moment,
} from '@laburnumshift/clock';
import type { BackendEntry, ForwardConfig, ObjectChange } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { watchKind } from '@laburnumshift/watch-objects';
import type { FleetOptions } from './fleet-options.js';
import { computeColdUntil } from './compute-cold-until.js';
import { createRestorePolicies } from './create-restore-policies.js';
import type { FleetView } from './fleet-view.js';
import { trackEvacuations } from './track-evacuations.js';
import type { PublishedWeights } from './published-weights.js';

/** Most published versions kept per model; older ones are no longer in use. */
const MAX_VERSIONS = 16;

/** Least change of the end of a cold state that is recorded, milliseconds: each answer of a cold server states the rest of it. */
const COLD_STEP_MS = 100;

/** When one answer has more entries than this, they are logged together in one line. */
const MAX_ENTRY_LINES = 12;

/** Starts to watch configuration, backend servers and published weights in the platform's store. */
export function trackFleet(options: FleetOptions): FleetView {
  const { source, decoder, kinds, waitMs, expiryGraceMs } = options;
  const logger = createLogger('fleet');
  const backends = new Map<string, BackendEntry>();
  const byService = new Map<string, readonly BackendEntry[]>();
  /** Ids of servers kept although their entries expired around a store outage, with the time at which that was noticed. */
  const lapsed = new Map<string, Moment>();
  const weights = new Map<string, PublishedWeights>();
  /** Published weights by model, in ascending order of their versions. */
  const history = new Map<string, readonly PublishedWeights[]>();
  const backendHandlers: ((id: string, entry: BackendEntry | undefined) => void)[] = [];
  const weightsHandlers: (() => void)[] = [];
  const configHandlers: ((config: ForwardConfig) => void)[] = [];
  let config: ForwardConfig | undefined;
  let isBackendsListed = false;
  let isWeightsListed = false;

  const updateService = (service: string): void => {
    const usable = [...backends.values()].filter(
      (one) => one.service === service && !one.isDraining && one.isEvacuated !== true,
    );
    byService.set(service, usable);
  };
  const setBackend = (id: string, decoded: BackendEntry | undefined): void => {
    const before = backends.get(id);
    const entry = decoded && evacuations.markEntry(decoded);
    if (entry === undefined) backends.delete(id);
    else backends.set(id, entry);
    for (const service of new Set([before?.service, entry?.service]))
      if (service !== undefined) updateService(service);
    for (const handler of backendHandlers) handler(id, entry);
  };
  /** Marks the servers of a failure domain again, so that all calls decided from now on respect its evacuation. */
  const updateDomain = (failureDomain: string): void => {
    const affected = [...backends.values()].filter((entry) => entry.failureDomain === failureDomain);
    for (const entry of affected) backends.set(entry.id, evacuations.markEntry(entry));
    for (const service of new Set(affected.map((entry) => entry.service))) updateService(service);
    for (const { id } of affected) for (const handler of backendHandlers) handler(id, backends.get(id));
  };
  const evacuations = trackEvacuations({
    onChange: updateDomain,
    listDomains: () => new Set([...backends.values()].map(({ failureDomain }) => failureDomain)),
    getMsSinceRecovery: () => evacuationsView?.getMsSinceRecovery() ?? Infinity,
  });
  /** Milliseconds since the store answered again; `undefined` when there was no outage. */
  const readSinceRecovery = (): number | undefined => {
    const ms = backendsView.getMsSinceRecovery();
    return ms === Infinity ? undefined : Math.round(ms);
  };
  const removeBackend = (id: string, reason: string): void => {
    lapsed.delete(id);
    const entry = backends.get(id);
    if (entry === undefined) return;
    logger.info('backend server removed', {
      server: id,
      service: entry.service,
      reason,
      sinceRecoveryMs: readSinceRecovery(),
    });
    setBackend(id, undefined);
  };
  const expireBackend = (id: string): void => {
    const entry = backends.get(id);
    if (entry === undefined) return;
    // Entries expire during an outage of the store; running servers register again shortly after it.
    const graceMs = expiryGraceMs - backendsView.getMsSinceRecovery();
    if (graceMs <= 0 || entry.isDraining) {
      removeBackend(id, 'entry removed');
      return;
    }
    const noticedAt = readMoment();
    lapsed.set(id, noticedAt);
    logger.info('entry expired around a store outage; keeping the server for the grace time', {
      server: id,
      graceMs: Math.round(graceMs),
      sinceRecoveryMs: readSinceRecovery(),
    });
    startTimer(graceMs, () => {
      if (lapsed.get(id) === noticedAt) removeBackend(id, 'entry was not registered again');
    });
  };
  const reportEntries = (entries: readonly (BackendEntry & { readonly revision: number })[]): void => {
    if (entries.length > MAX_ENTRY_LINES) {
      // The first list has all servers; a line for each would take longer than the list itself.
      const servers = entries.map(({ id, address }) => `${id} ${address}`);
      logger.info('backend servers registered or changed', { count: entries.length, servers });
      return;
    }
    for (const { id: server, service, address, isDraining, revision } of entries)
      logger.info('backend server registered or changed', { server, service, address, isDraining, revision });
  };
  const applyBackends = (changes: readonly ObjectChange[]): void => {
    const changedEntries: (BackendEntry & { readonly revision: number })[] = [];
    for (const { isRemoved, object } of changes) {
      const entry = isRemoved ? undefined : decoder.decodeBackend(object);
      if (isRemoved) {
        expireBackend(object.name);
        continue;
      }
      if (entry === undefined) {
        logger.warn('entry cannot be decoded', { server: object.name, revision: object.revision });
        removeBackend(object.name, 'entry cannot be decoded');
        continue;
      }
      lapsed.delete(entry.id);
      const before = backends.get(entry.id);
      const isNew = before?.bornMs !== entry.bornMs || before.address !== entry.address;
      if (isNew || before.isDraining !== entry.isDraining) {
        changedEntries.push({ ...entry, revision: object.revision });
      }
      if (isNew && before !== undefined) setBackend(entry.id, undefined);
      if (entry.hasUnreadableCold === true && before?.hasUnreadableCold !== true)
        logger.warn('ignoring an unreadable time for which a server is cold', { server: entry.id });
      const coldUntilMs = computeColdUntil({
        entry,
        before,
        isInitial: !isBackendsListed,
        service: config?.services.get(entry.service),
        nowMs: readMonotonicMs(),
        nowWallMs: readWallMs(),
      });
      setBackend(entry.id, coldUntilMs === undefined ? entry : { ...entry, coldUntilMs });
    }
    isBackendsListed = true;
    reportEntries(changedEntries);
    evacuations.reportDomains();
  };
  const applyConfig = (changes: readonly ObjectChange[]): void => {
    for (const { isRemoved, object } of changes) {
      if (isRemoved) {
        logger.warn('configuration removed from the store; the last version stays in force', {
          name: object.name,
        });
        continue;
      }
      const decoded = decoder.decodeConfig(object);
      if (decoded === undefined) {
        logger.error('configuration cannot be decoded; the last version stays in force', {
          revision: object.revision,
        });
        continue;
      }
      // A version that was lost with a restore of the store may be written again with other content.
      if (config !== undefined && (decoded.version < config.version || isDeepStrictEqual(decoded, config)))
        continue;
      logger.info('configuration in force', { version: decoded.version, before: config?.version });
      config = decoded;
      for (const handler of configHandlers) handler(decoded);
    }
  };
  const applyWeights = (changes: readonly ObjectChange[]): void => {
    for (const { isRemoved, object } of changes) {
      const decoded = isRemoved ? undefined : decoder.decodeWeights(object);
      if (decoded === undefined) continue;
      if ((weights.get(decoded.model)?.version ?? 0) >= decoded.version) continue;
      const earliest = weightsView.getChangedSince();
      const published = {
        ...decoded,
        learnedAt: readMoment(),
        earliestPublishedAt: earliest,
        isInitial: !isWeightsListed,
      };
      logger.info('weights published', {
        model: decoded.model,
        version: decoded.version,
        mayBeOldMs: computeElapsedMs(earliest),
      });
      weights.set(decoded.model, published);
      history.set(decoded.model, [...(history.get(decoded.model) ?? []), published].slice(-MAX_VERSIONS));
      for (const handler of weightsHandlers) handler();
    }
    isWeightsListed = true;
  };

  const restorePolicies = createRestorePolicies(decoder);
  const watch = (
    kind: keyof typeof restorePolicies,
    onChanges: (changes: readonly ObjectChange[]) => void,
    storeKind: string = kinds[kind] ?? kind,
  ) =>
    watchKind({
      source,
      kind: storeKind,
      waitMs: waitMs[kind] ?? waitMs.config,
      minOutageMs: options.minOutageMs,
      maxReturnDelayMs: options.maxReturnDelayMs,
      // Only server entries change often and in large numbers at once.
      getBatchDelayMs: () => (kind === 'backends' ? options.getBatchDelayMs() : 0),
      restorePolicy: restorePolicies[kind],
      onChanges,
    });
  const configView = watch('config', applyConfig);
  const backendsView = watch('backends', applyBackends);
  const weightsView = watch('weights', applyWeights);
  const evacuationsView =
    kinds.evacuations === undefined ? undefined : watch('evacuations', evacuations.applyChanges);
  const viewsByKind = new Map([
    [kinds.config, configView],
    [kinds.backends, backendsView],
    [kinds.weights, weightsView],
    ...(kinds.evacuations === undefined || evacuationsView === undefined
      ? []
      : [[kinds.evacuations, evacuationsView] as const]),
  ]);
  const views = [...viewsByKind.values()];

  return {
    getConfig: () => config,
    getConfigAgeMs: () => configView.getAgeMs(),
    listBackends: (service) => byService.get(service) ?? [],
    listEvacuated: (service) =>
      [...backends.values()].filter(
        (entry) => entry.service === service && entry.isEvacuated === true && !entry.isDraining,
      ),
    countEvacuated: () => [...backends.values()].filter((entry) => entry.isEvacuated === true).length,
    countCold: () => {
      const now = readMonotonicMs();
      return [...backends.values()].filter(
        ({ coldUntilMs }) => coldUntilMs !== undefined && coldUntilMs > now,
      ).length;
    },
    markCold: ({ id, bornMs }, coldMs) => {
      const entry = backends.get(id);
      if (entry?.bornMs !== bornMs || coldMs === 0) return false;
      const coldUntilMs = readMonotonicMs() + coldMs;
      if (coldUntilMs <= (entry.coldUntilMs ?? -Infinity) + COLD_STEP_MS) return false;
      if ((entry.coldUntilMs ?? -Infinity) < readMonotonicMs())
        logger.info('server says that it is cold', { server: id, coldMs });
      backends.set(id, { ...entry, coldUntilMs });
      updateService(entry.service);
      return true;
    },
    getBackend: (id) => backends.get(id),
    listAllBackends: () => [...backends.values()],
    getWeights: (model) => weights.get(model),
    listWeights: () => [...weights.values()],
    findNextWeights: (model, version) => history.get(model)?.find((published) => published.version > version),
    getWeightsAgeMs: () => weightsView.getAgeMs(),
    isComplete: () => config !== undefined && views.every((view) => view.getAgeMs() < Infinity),
    watchBackends: (handler) => {
      backendHandlers.push(handler);
    },
    watchConfig: (handler) => {
      configHandlers.push(handler);
    },
    watchWeights: (handler) => {
      weightsHandlers.push(handler);
    },
    readObjects: (kind, after) => viewsByKind.get(kind)?.readChangesSince(after),
    listStates: () => views.flatMap((view) => view.readState() ?? []),
    close: () => {
      for (const view of views) view.close();
      evacuations.close();
    },
  };
}
