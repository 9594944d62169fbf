import { randomInt } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { parseAddress, retryUntilBound } from '@laburnumshift/addresses';
import { createRunRegistry } from '@laburnumshift/attach-runs';
import { createNodeMesh } from '@laburnumshift/call-node';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { readWallMs } from '@laburnumshift/clock';
import { detectMembers } from '@laburnumshift/detect-members';
import { createCallJournal } from '@laburnumshift/journal-calls';
import { createRetryBudget } from '@laburnumshift/limit-retries';
import { createLogger } from '@laburnumshift/logger';
import { createLocalPlacer } from '@laburnumshift/manage-cell';
import { createQuarantine } from '@laburnumshift/quarantine-requests';
import { createMetrics } from '@laburnumshift/record-metrics';
import { startCallerServer } from '@laburnumshift/serve-callers';
import { serveOperators } from '@laburnumshift/serve-operators';
import type { Membership, NodeSettings } from '@laburnumshift/types';
import { watchConfig } from '@laburnumshift/watch-config';
import { createCallerHandlers } from './create-caller-handlers.js';
import { createHomes } from './create-homes.js';
import { createHostWatch } from './create-host-watch.js';
import { createLimiter } from './create-limiter.js';
import { createOrderDuties } from './create-order-duties.js';
import { createOperatorHandlers } from './create-operator-handlers.js';
import { createPeerClients } from './create-peer-clients.js';
import { createPlacer } from './create-placer.js';
import { createServerTable } from './create-server-table.js';
import { createSuspectMemory } from './create-suspect-memory.js';
import { createTraceStore } from './create-trace-store.js';
import type { NodeOptions } from './node-options.js';
import type { NodeParts } from './node-parts.js';
import { registerHandlers } from './register-handlers.js';
import type { RunningNode } from './running-node.js';
import { setGauges } from './set-gauges.js';
import { stopNode } from './stop-node.js';

/** Opens a listener, and waits while its address is in use. */
type OpenWhenFree = <T>(open: () => Promise<T>) => Promise<T>;

const MAX_SEED = 2 ** 31;

/**
 * Starts one node. Resolves when the node listens for callers and operators. The node is ready while it has a configuration
 * that is not stale and it is not draining.
 *
 * An address in use is waited for while a node before this one may drain.
 *
 * @param options - replacements for the decision functions, for measurements only
 * @param stopSignal - ends a start that waits for an address
 */
export async function runNode(
  settings: NodeSettings,
  options: NodeOptions = {},
  stopSignal?: AbortSignal,
): Promise<RunningNode> {
  const logger = createLogger('node');
  const { balancerDelayMs, drainMs } = settings.shutdown;
  const openWhenFree: OpenWhenFree = (open) =>
    retryUntilBound(open, {
      timeoutMs: balancerDelayMs + drainMs,
      signal: stopSignal,
      onWait: (error) => {
        logger.warn('address in use, waiting for it', { detail: String(error) });
      },
    });
  const parts = await createParts(settings, options, openWhenFree);
  registerHandlers(parts);
  setGauges(parts);
  let draining = false;
  const isReady = (): boolean =>
    !draining && parts.configWatch.getConfig() !== undefined && !parts.configWatch.isStale();

  const tls = await readTls(settings);
  const callers = await openWhenFree(() =>
    startCallerServer(
      { ...parseAddress(settings.callers), limits: settings.limits, tls },
      createCallerHandlers(
        parts,
        () => parts.configWatch.getConfig() !== undefined && !parts.configWatch.isStale(),
      ),
    ),
  );
  let stopping: Promise<void> | undefined;
  let reportStopped: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    reportStopped = resolve;
  });
  const stop = (): Promise<void> => {
    draining = true;
    stopping ??= stopNode(parts, callers, operators).finally(reportStopped);
    return stopping;
  };
  const operators = await openWhenFree(() =>
    serveOperators({
      listen: settings.operators,
      token: settings.operatorToken,
      handlers: createOperatorHandlers(parts, isReady, () => {
        void stop();
      }),
    }),
  );
  const scheme = settings.tls === undefined ? 'http' : 'https';
  parts.logger.info('listening', { callers: callers.address, operators: operators.url });
  return {
    callersUrl: `${scheme}://${callers.address}`,
    operatorsUrl: operators.url,
    meshAddress: parts.mesh.getAddress(),
    stop,
    stopped,
  };
}

async function createParts(
  settings: NodeSettings,
  options: NodeOptions,
  openWhenFree: OpenWhenFree,
): Promise<NodeParts> {
  const logger = createLogger('node');
  logger.setLevel(settings.log.level);
  const metrics = createMetrics();
  const platform = createPlatformClient({ url: settings.platformUrl, ...settings.platform });
  const mesh = await openWhenFree(() =>
    createNodeMesh({ listen: settings.mesh, secret: settings.meshSecret, tls: settings.tls }),
  );
  // Membership reads the host watch and is therefore created after it. The host watch reads membership through this object.
  const membershipRef: { membership?: Membership } = {};
  const hostWatch = createHostWatch(platform, mesh, () => membershipRef.membership, logger);
  const membership = detectMembers({
    self: {
      host: settings.host,
      incarnation: readWallMs(),
      failureDomain: settings.failureDomain,
      address: mesh.getAddress(),
    },
    mesh,
    listHosts: () => Promise.resolve(hostWatch.listHosts()),
    seeds: settings.seeds,
    randomSeed: randomInt(MAX_SEED),
  });
  membershipRef.membership = membership;
  const configWatch = watchConfig({ platform, mesh, membership, seeds: settings.seeds });
  const { getConfig } = configWatch;
  const peers = createPeerClients();
  const reportError = (error: unknown): void => {
    logger.error('a background task failed', { detail: String(error) });
  };
  const local = createLocalPlacer();
  const placer = createPlacer(mesh, () => membershipRef.membership, getConfig, local, metrics.addToCounter);
  const quarantine = createQuarantine({ mesh, membership, platform });
  const isHome = (pool: string, cell: number): boolean => {
    const config = getConfig()?.pools[pool];
    return config !== undefined && placer.findHome(config, cell) === mesh.getAddress();
  };
  const suspects = createSuspectMemory();
  const homes = createHomes(isHome, getConfig, quarantine, suspects, metrics, logger, options);
  const orders = createOrderDuties(platform, membership, getConfig, peers.getEngine);
  const servers = createServerTable(settings.host, getConfig, peers.getService, reportError);
  hostWatch.onChange((leaving) => {
    homes.setLeaving(leaving);
    servers.setLeaving(leaving);
    local.setLeavingServers(leaving);
  });
  configWatch.onConfig((config) => {
    homes.applyConfig(config);
    orders.applyConfig(config);
    peers.dropUnused(config);
    logger.info('applied the configuration', { generation: config.generation });
  });
  return {
    settings,
    logger,
    metrics,
    platform,
    mesh,
    membership,
    configWatch,
    hostWatch,
    peers,
    homes,
    orders,
    placer,
    servers,
    quarantine,
    suspects,
    limiter: createLimiter(mesh, membership, getConfig, logger),
    journal: createCallJournal({ platform, mesh, membership, ...settings.journal }),
    registry: createRunRegistry({ mesh, membership }),
    retryBudget: createRetryBudget({ seed: randomInt(MAX_SEED) }),
    traces: createTraceStore(settings.host),
    bootIds: new Map(),
  };
}

async function readTls(
  settings: NodeSettings,
): Promise<{ readonly cert: Buffer; readonly key: Buffer } | undefined> {
  if (settings.tls === undefined) return undefined;
  return { cert: await readFile(settings.tls.certFile), key: await readFile(settings.tls.keyFile) };
}
