import { retryUntilBound } from '@laburnumshift/addresses';
import { createReservationTable, type HomeClient } from '@laburnumshift/ask-home';
import { createBackendPool } from '@laburnumshift/call-backend';
import { createByteBudget } from '@laburnumshift/collect-bytes';
import {
  createSharedInterval,
  readMonotonicMs,
  runEvery,
  sleep,
  watchSuspension,
} from '@laburnumshift/clock';
import { createCopyTable, createTokenTimes } from '@laburnumshift/continue-runs';
import { createCostEstimator } from '@laburnumshift/estimate-cost';
import { explainCall, startForwardServer } from '@laburnumshift/forward-calls';
import { computeClientLimits, createConnectionGuard } from '@laburnumshift/limit-connections';
import { computeHomeShare, computeHostShare, createResendBudget } from '@laburnumshift/limit-resends';
import { createLogger } from '@laburnumshift/logger';
import { createCrashQuarantine } from '@laburnumshift/quarantine-pieces';
import { createOrderedStore } from '@laburnumshift/order-revisions';
import { createMetrics } from '@laburnumshift/record-metrics';
import { watchMemory } from '@laburnumshift/watch-memory';
import { buildExplainPage } from './build-explain-page.js';
import { countEventReaders } from './count-event-readers.js';
import { countStoreCalls } from './count-store-calls.js';
import type { ForwarderOptions } from './forwarder-options.js';
import { FORWARDER_TIMINGS } from './forwarder-timings.js';
import { isHostReady } from './is-host-ready.js';
import { createSharedReportReader } from './create-shared-report-reader.js';
import { openHostContext } from './open-host-context.js';
import { openPlacement } from './open-placement.js';
import type { RunningForwarder } from './running-forwarder.js';
import { serveStatus } from './serve-status.js';
import { startMetricsServer } from './start-metrics-server.js';
import { startWeightRollouts } from './start-weight-rollouts.js';

/** Collects all garbage; does nothing unless the runtime was started with `--expose-gc`. */
const collectGarbage = (): void => {
  globalThis.gc?.();
};

/** Fractions of the memory of the machine for request bodies and for answers that are not complete; the program itself takes half. */
const BODY_MEMORY_RATIO = 0.125;
const ANSWER_MEMORY_RATIO = 0.0625;

/**
 * Starts a forwarding host. Resolves when it listens, and rejects when an address cannot be bound. An address in use is waited for: the
 * process before this one may still finish its calls. After a stop signal no listener for callers is opened, and the start rejects.
 */
export async function runForwarder(options: ForwarderOptions): Promise<RunningForwarder> {
  const { settings, codec } = options;
  const { bounds } = settings;
  const times = FORWARDER_TIMINGS;
  const logger = createLogger('host');
  const metrics = createMetrics();
  const pool = createBackendPool(codec);
  const reservations = createReservationTable();
  let homeClient: HomeClient | undefined;
  const { source, leases, era } = createOrderedStore(options.store, settings.isFirstStart);
  const store = { ...countStoreCalls(source, leases, metrics), era };
  // The process before this one may get its stop signal only now.
  const openEndMs = readMonotonicMs() + 2 * bounds.graceMs;
  const openWhenFree = <T>(open: () => Promise<T>): Promise<T> => {
    const timeoutMs = openEndMs - readMonotonicMs();
    return retryUntilBound(open, {
      timeoutMs,
      signal: options.stopSignal,
      onWait: (error) => {
        logger.warn('address in use, waiting for it', { timeoutMs, detail: String(error) });
      },
    });
  };
  const settledRequests = {
    getSettled: () => homeClient?.getSettledNumber() ?? 0,
    onSettled: reservations.clearReservations,
  };
  const context = await openHostContext(options, store, settledRequests, openWhenFree);
  const { serverTracker, notices, limits, sharing, fleet, transferPlanner } = context;
  fleet.watchBackends((id, entry) => {
    if (entry === undefined) pool.removeBackend(id);
  });
  const resendLimits = {
    ratio: bounds.resendRatio,
    windowMs: bounds.resendWindowMs,
    slack: bounds.resendSlack,
  };
  const countHosts = (): number => context.listPeers().length + 1;
  const resends = createResendBudget(
    resendLimits,
    () => computeHostShare(context.isJoined() ? countHosts() : undefined, sharing.getPlan().isRelayed),
    settings.isFirstStart,
  );
  const homeResends = createResendBudget(
    resendLimits,
    () => {
      const domainPeers = context
        .listPeers()
        .filter(({ failureDomain }) => failureDomain === settings.failureDomain);
      return computeHomeShare(countHosts(), domainPeers.length + 1);
    },
    settings.isFirstStart,
  );
  const costs = createCostEstimator();
  const { placer, explainPlacement } = openPlacement(
    context,
    { metrics, reservations, costs, resends, homeResends },
    bounds,
    options.control,
    (opened) => {
      homeClient = opened;
    },
  );
  const quarantine = createCrashQuarantine({
    self: context.self,
    channel: context.channel,
    listPeers: context.listPeers,
    getPlan: sharing.getPlan,
    probeServer: options.control.probeServer,
    isLeaving: (server) => server.isDraining || notices.getAvailability(server).isLeaving,
    onCrash: ({ service, calls }) => {
      metrics.addToCounter('calls_broken_by_crash_total', { service }, calls.length);
    },
    pickRandom: Math.random,
  });
  const memory = {
    bodies: createByteBudget(settings.memoryBytes * BODY_MEMORY_RATIO),
    answers: createByteBudget(settings.memoryBytes * ANSWER_MEMORY_RATIO),
  };
  const memoryWatch = watchMemory({
    memoryBytes: settings.memoryBytes,
    readMemory: process.memoryUsage,
    collectGarbage: globalThis.gc === undefined ? undefined : collectGarbage,
    onCollected: () => {
      metrics.addToCounter('garbage_collections_total', {});
    },
  });
  const connectionGuard = createConnectionGuard({
    limits: computeClientLimits(settings),
    countServerConnections: pool.countConnections,
    getIdleTimeoutMs: () => fleet.getConfig()?.limits.idleTimeoutMs ?? Infinity,
  });
  let isDraining = false;
  let isListening = false;
  let wasLastReady: boolean | undefined;
  const checkReady = (): boolean => {
    const configAgeMs = fleet.getConfigAgeMs();
    const isComplete = fleet.isComplete();
    const isReady =
      isListening && isHostReady({ isDraining, isComplete, configAgeMs, revokeMs: bounds.revokeMs });
    if (isReady !== wasLastReady)
      logger.info('readiness', { isReady, isListening, isDraining, isComplete, configAgeMs });
    wasLastReady = isReady;
    return isReady;
  };
  const ready = await openWhenFree(() =>
    serveStatus(settings.readyAddress, {
      [options.readinessPath]: () =>
        checkReady() ? { status: 200, text: 'ready\n' } : { status: 503, text: 'not ready\n' },
    }),
  );
  options.stopSignal?.throwIfAborted();
  const callerServer = await openWhenFree(() =>
    startForwardServer(settings.callerAddress, {
      codec,
      fleet,
      serverTracker,
      costs,
      notices,
      limits,
      quarantine,
      pool,
      placer,
      sharing,
      runCopies: {
        copies: createCopyTable(),
        tokenTimes: createTokenTimes(),
        engineLifeMs: settings.engineLifeMs,
      },
      resends,
      metrics,
      memory,
      connectionGuard,
      observeReadBytes: memoryWatch.observeReadBytes,
      bounds,
      failureDomain: settings.failureDomain,
      pickRandom: Math.random,
      probeServer: createSharedReportReader(options.control.probeServer),
      readReport: options.control.readReport,
      moveRun: options.control.moveRun,
      freeHandle: options.control.freeHandle,
      startStallChecks: createSharedInterval(times.stallCheckIntervalMs),
    }),
  );
  isListening = true;
  metrics.registerGauge('calls_in_flight', callerServer.countCallsInFlight);
  metrics.registerGauge('quarantined_traits', quarantine.countConvicted);
  metrics.registerGauge('limited_servers', limits.countLimited);
  metrics.registerGauge('evacuated_servers', fleet.countEvacuated);
  metrics.registerGauge('cold_servers', fleet.countCold);
  metrics.registerGauge('body_bytes_kept', memory.bodies.countReserved);
  metrics.registerGauge('answer_bytes_kept', memory.answers.countReserved);
  metrics.registerGauge('caller_connections', connectionGuard.countConnections);
  metrics.registerGauge('caller_bytes', connectionGuard.countBytes);
  metrics.registerGauge('resident_bytes', () => process.memoryUsage.rss());
  metrics.registerGauge('config_age_ms', fleet.getConfigAgeMs);
  const closeMetrics =
    settings.metricsAddress === undefined
      ? undefined
      : startMetricsServer(
          settings.metricsAddress,
          { '/metrics': () => ({ status: 200, text: metrics.renderMetrics() }) },
          {
            '/explain': buildExplainPage((head, bodyBytes) =>
              explainCall(
                {
                  host: settings.host,
                  failureDomain: settings.failureDomain,
                  codec,
                  fleet,
                  bounds,
                  costs,
                  quarantine,
                  explainPlacement,
                  pickRandom: Math.random,
                },
                head,
                bodyBytes,
              ),
            ),
          },
        );

  const orders = startWeightRollouts(options, context, store);
  // Connections are dead after a suspension. Unless they are replaced, the configuration stays too old until requests time out.
  const stopWatching = watchSuspension(
    (gapMs) => {
      logger.warn('resumed after a suspension, connections closed', { gapMs });
      options.closeConnections();
      pool.closeIdleConnections();
    },
    (error) => {
      logger.error('closing connections failed', { detail: String(error) });
    },
  );
  // Each host that reads the events of stores frees pieces at random times; the others learn of it from these events.
  const stopFreeing = runEvery(
    () => times.freeIntervalMs * countEventReaders(sharing.getPlan()) * (0.5 + Math.random()),
    () => transferPlanner.freeOutdated(fleet.getConfig()?.stores ?? []),
    (error) => {
      logger.error('freeing pieces failed', { detail: String(error) });
    },
  );
  const stopSummary = runEvery(
    times.summaryIntervalMs,
    () => {
      logger.info('summary', {
        inFlight: callerServer.countCallsInFlight(),
        hosts: sharing.countCoveredHosts() + 1,
        upstream: sharing.getPlan().upstream?.host,
        counts: metrics.listCounters(),
      });
    },
    (error) => {
      logger.error('summary failed', { detail: String(error) });
    },
  );
  logger.info('started', { host: settings.host, failureDomain: settings.failureDomain, bounds });

  return {
    recordUnhandledError: (kind, error) => {
      metrics.addToCounter('faults_total', { kind });
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      logger.error('unhandled error', { kind, detail });
    },
    stop: async () => {
      const startedMs = readMonotonicMs();
      isDraining = true;
      callerServer.startDraining();
      logger.info('stopping', { inFlight: callerServer.countCallsInFlight(), graceMs: bounds.graceMs });
      orders.stop();
      stopFreeing();
      stopSummary();
      stopWatching();
      const leaseReleased = orders.releaseLease();
      const computeElapsed = (): number => readMonotonicMs() - startedMs;
      const drainEndMs = bounds.graceMs - times.exitReserveMs;
      while (computeElapsed() < times.balancerRemovalMs) await sleep(times.drainCheckIntervalMs);
      // The load balancer sends no new connections by now. Idle ones are closed after a while, so that no late call arrives that cannot be finished.
      await callerServer.stopListening();
      const idleEndMs = Math.min(drainEndMs, computeElapsed() + times.idleCloseMs);
      const isInUse = (): boolean =>
        callerServer.countCallsInFlight() > 0 ||
        (callerServer.countConnections() > 0 && computeElapsed() < idleEndMs);
      while (computeElapsed() < drainEndMs && isInUse()) {
        await sleep(times.drainCheckIntervalMs);
        callerServer.closeIdleConnections();
      }
      callerServer.endCalls();
      // The answers take a moment to be written.
      const answersEndMs = computeElapsed() + times.lastAnswersMs;
      while (computeElapsed() < answersEndMs && callerServer.countCallsInFlight() > 0)
        await sleep(times.drainCheckIntervalMs);
      memoryWatch.stop();
      quarantine.close();
      context.close();
      ready.close();
      closeMetrics?.();
      await Promise.race([leaseReleased, sleep(times.drainCheckIntervalMs * 4)]);
      pool.close();
      logger.info('stopped', {
        ms: Math.round(computeElapsed()),
        inFlight: callerServer.countCallsInFlight(),
      });
    },
  };
}
