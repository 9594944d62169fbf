import { randomUUID } from 'node:crypto';
import { readMonotonicMs, readWallMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { BackendServer, OrderResult, PoolConfig } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import { chooseEngine } from './choose-engine.js';
import { DEFAULT_ORDER_LIMITS } from './default-order-limits.js';
import type { EngineGoal } from './engine-goal.js';
import type { EngineState } from './engine-state.js';
import { findGoal } from './find-goal.js';
import { observeEngine } from './observe-engine.js';
import type { OrderOptions } from './order-options.js';

/**
 * Brings the engines of a pool to their declared weights, adapters and roles while the lease is held. A rollback is a new
 * declaration like any other.
 *
 * @returns a function that stops the orders
 */
export function orderEngines(options: OrderOptions): () => void {
  const limits = { ...DEFAULT_ORDER_LIMITS, ...options.limits };
  const logger = createLogger('orders');
  const states = new Map<string, EngineState>();
  let fencing: number | undefined;
  let heldSinceMs = 0;
  let loadedMs = -Infinity;
  let nextRead = 0;

  const getState = (server: string): EngineState => {
    const known = states.get(server);
    if (known !== undefined) return known;
    const state: EngineState = {
      load: undefined,
      ordered: undefined,
      readySinceMs: undefined,
      identity: '',
      failures: 0,
      notBeforeMs: 0,
    };
    states.set(server, state);
    return state;
  };
  const isBusy = (pool: PoolConfig): boolean =>
    pool.servers.some((server) => {
      const state = states.get(server.name);
      if (state === undefined || state.ordered !== undefined) return true;
      const { load } = state;
      if (load === undefined || load.leaving) return false;
      return load.loading || findGoal(pool, server, load) !== undefined;
    });
  const pickNext = (servers: readonly BackendServer[]): readonly BackendServer[] => {
    const start = nextRead % Math.max(1, servers.length);
    nextRead = start + limits.idleReads;
    return servers.slice(start, start + limits.idleReads);
  };
  const readLoads = async (pool: PoolConfig): Promise<void> => {
    const names = new Set(pool.servers.map((server) => server.name));
    for (const name of states.keys()) if (!names.has(name)) states.delete(name);
    const servers = isBusy(pool) ? pool.servers : pickNext(pool.servers);
    await Promise.all(
      servers.map(async (server) => {
        const load = await options.getEngine(server.name)?.readLoad();
        const report = load?.ok === true ? load.value : undefined;
        observeEngine(getState(server.name), report, limits);
      }),
    );
  };
  const recordResult = async (
    server: BackendServer,
    goal: EngineGoal,
    orderId: string,
    generation: number,
    result: OrderResult,
  ): Promise<void> => {
    const target = goal.type === 'set_role' ? goal.role : (goal.adapter ?? goal.version);
    await options.recordOrder({
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
      detail: `${goal.type} ${target ?? ''} on ${server.name}: ${result.kind}`,
    });
  };
  /** Sends one order; false when the lease is not surely held. */
  const sendOrder = async (server: BackendServer, goal: EngineGoal, generation: number): Promise<boolean> => {
    const engine = options.getEngine(server.name);
    const current = options.lease.getFencingToken();
    if (engine === undefined || current === undefined || current !== fencing) return false;
    const state = getState(server.name);
    // The order must not start after the lease may have passed to another node.
    const deadline = Math.floor(readWallMs() + Math.min(limits.deadlineMs, options.lease.getRemainingMs()));
    const orderId = randomUUID();
    state.ordered = { goal, untilMs: deadline };
    if (goal.type === 'load_weights') loadedMs = readMonotonicMs();
    const result = await engine.sendOrder({ ...goal, order_id: orderId, fencing: current, deadline });
    if (result.kind === 'stale-fencing' || result.kind === 'deadline-passed') {
      state.ordered = undefined;
      state.notBeforeMs = readMonotonicMs() + limits.backoffMs;
      logger.warn('an order was refused', { server: server.name, result: result.kind });
    }
    recordResult(server, goal, orderId, generation, result).catch((error: unknown) => {
      logger.error('an order has no audit record', { order: orderId, detail: String(error) });
    });
    return result.kind !== 'stale-fencing';
  };
  const runOnce = async (): Promise<void> => {
    const current = options.lease.getFencingToken();
    const declared = options.getPool();
    if (current === undefined || declared === undefined) return;
    if (current !== fencing) {
      fencing = current;
      heldSinceMs = readMonotonicMs();
      states.clear();
    }
    const { pool, generation } = declared;
    await readLoads(pool);
    // Orders of the previous holder may start until their deadline, on engines that ignore fencing even now, and show in
    // the reports only later. Until then the state that is read back may be incomplete.
    if (readMonotonicMs() - heldSinceMs < limits.deadlineMs + 2 * limits.reportLagMs) return;
    for (let count = 0; count < limits.maxLoading; count += 1) {
      const mayLoadWeights = readMonotonicMs() - loadedMs >= 1000 / limits.loadsPerSecond;
      const choice = chooseEngine(pool, states, mayLoadWeights, limits);
      if (choice === undefined) return;
      if (!(await sendOrder(choice.server, choice.goal, generation))) return;
    }
  };
  return runEvery(limits.periodMs, runOnce, (error) => {
    logger.error('ordering failed', { detail: String(error) });
  });
}
