import { randomUUID } from 'node:crypto';
import { readMonotonicMs, readWallMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { BackendServer, OrderResult, PoolConfig } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import { chooseNextOrder } from './choose-next-order.js';
import { DEFAULT_ROLLOUT_LIMITS } from './default-rollout-limits.js';
import type { RequiredChange } from './required-change.js';
import type { EngineRolloutState } from './engine-rollout-state.js';
import { findRequiredChange } from './find-required-change.js';
import { updateEngineState } from './update-engine-state.js';
import type { OrderEnginesOptions } from './order-engines-options.js';

/**
 * Reconciles the engines of a pool with their declared weights, adapters and roles while the pool's lease is held. A rollback
 * is an ordinary new declaration.
 *
 * @returns a function that stops the rollout; it does not release the lease
 */
export function orderEngines(options: OrderEnginesOptions): () => void {
  const limits = { ...DEFAULT_ROLLOUT_LIMITS, ...options.limits };
  const logger = createLogger('orders');
  const states = new Map<string, EngineRolloutState>();
  let fencing: number | undefined;
  let leaseAcquiredMs = 0;
  let lastWeightLoadMs = -Infinity;
  let nextIdleRead = 0;

  const getState = (server: string): EngineRolloutState => {
    const known = states.get(server);
    if (known !== undefined) return known;
    const state: EngineRolloutState = {
      load: undefined,
      pendingOrder: undefined,
      readySinceMs: undefined,
      bootAndVersion: '',
      ineffectiveOrders: 0,
      notBeforeMs: 0,
    };
    states.set(server, state);
    return state;
  };
  const hasPendingChange = (pool: PoolConfig): boolean =>
    pool.servers.some((server) => {
      const state = states.get(server.name);
      if (state === undefined || state.pendingOrder !== undefined) return true;
      const { load } = state;
      if (load === undefined || load.leaving) return false;
      return load.loading || findRequiredChange(pool, server, load) !== undefined;
    });
  const pickIdleReads = (servers: readonly BackendServer[]): readonly BackendServer[] => {
    const start = nextIdleRead % Math.max(1, servers.length);
    nextIdleRead = start + limits.enginesPerIdlePoll;
    return servers.slice(start, start + limits.enginesPerIdlePoll);
  };
  const readLoads = async (pool: PoolConfig): Promise<void> => {
    const names = new Set(pool.servers.map((server) => server.name));
    for (const name of states.keys()) if (!names.has(name)) states.delete(name);
    const servers = hasPendingChange(pool) ? pool.servers : pickIdleReads(pool.servers);
    await Promise.all(
      servers.map(async (server) => {
        const load = await options.getEngineClient(server.name)?.readLoad();
        const report = load?.ok === true ? load.value : undefined;
        updateEngineState(getState(server.name), report, limits);
      }),
    );
  };
  const recordResult = async (
    server: BackendServer,
    change: RequiredChange,
    orderId: string,
    generation: number,
    result: OrderResult,
  ): Promise<void> => {
    const target = change.type === 'set_role' ? change.role : (change.adapter ?? change.version);
    await options.recordOrderAudit({
      changeId: orderId,
      atMs: readWallMs(),
      author: options.host,
      action: 'order',
      fromGeneration: generation,
      toGeneration: result.kind === 'accepted' ? generation : undefined,
      files: [],
      result: match(result.kind)
        .with('accepted', () => 'accepted' as const)
        .with('unknown', () => 'unknown' as const)
        .otherwise(() => 'refused' as const),
      detail: `${change.type} ${target ?? ''} on ${server.name}: ${result.kind}`,
    });
  };
  /** Sends one order; resolves to false when it is not certain that this node still holds the lease, or no client is known. */
  const sendOrder = async (
    server: BackendServer,
    change: RequiredChange,
    generation: number,
  ): Promise<boolean> => {
    const engine = options.getEngineClient(server.name);
    const current = options.lease.getFencingToken();
    if (engine === undefined || current === undefined || current !== fencing) return false;
    const state = getState(server.name);
    // The order must not start once another node may hold the lease.
    const deadline = Math.floor(readWallMs() + Math.min(limits.deadlineMs, options.lease.getRemainingMs()));
    const orderId = randomUUID();
    state.pendingOrder = { change, startDeadlineMs: deadline };
    if (change.type === 'load_weights') lastWeightLoadMs = readMonotonicMs();
    const result = await engine.sendOrder({ ...change, order_id: orderId, fencing: current, deadline });
    if (result.kind === 'stale-fencing' || result.kind === 'deadline-passed') {
      state.pendingOrder = undefined;
      state.notBeforeMs = readMonotonicMs() + limits.initialBackoffMs;
      logger.warn('an engine refused an order', { server: server.name, result: result.kind });
    }
    recordResult(server, change, orderId, generation, result).catch((error: unknown) => {
      logger.error('could not write the audit record of an order', { order: orderId, detail: String(error) });
    });
    return result.kind !== 'stale-fencing';
  };
  const runOnce = async (): Promise<void> => {
    const current = options.lease.getFencingToken();
    const declared = options.getDeclaredPool();
    if (current === undefined || declared === undefined) return;
    if (current !== fencing) {
      fencing = current;
      leaseAcquiredMs = readMonotonicMs();
      states.clear();
    }
    const { pool, generation } = declared;
    await readLoads(pool);
    // Orders of the previous lease holder may start until their deadline, on engines without fencing checks even under the
    // new holder, and show in load reports only after the report lag. Until then the state read from engines is incomplete.
    if (readMonotonicMs() - leaseAcquiredMs < limits.deadlineMs + 2 * limits.maxReportLagMs) return;
    for (let count = 0; count < limits.maxConcurrentLoads; count += 1) {
      const mayLoadWeights = readMonotonicMs() - lastWeightLoadMs >= 1000 / limits.weightLoadsPerSecond;
      const next = chooseNextOrder(pool, states, mayLoadWeights, limits);
      if (next === undefined) return;
      if (!(await sendOrder(next.server, next.change, generation))) return;
    }
  };
  return runEvery(limits.pollIntervalMs, runOnce, (error) => {
    logger.error('rollout to the engines of a pool failed', { detail: String(error) });
  });
}
