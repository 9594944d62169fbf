import { sleep } from '@laburnumshift/clock';
import { holdLease, type Lease } from '@laburnumshift/hold-lease';
import { orderEngines } from '@laburnumshift/order-engines';
import type {
  AuditRecord,
  EngineClient,
  EngineLoad,
  EngineOrder,
  OrderResult,
  PlatformClient,
  PoolConfig,
  WriteResult,
} from '@laburnumshift/types';

/** Faults and delays of the simulation, which tests change while it runs. */
export interface Switches {
  platform: 'ok' | 'down' | 'answers-lost';
  orders: 'ok' | 'answers-lost' | 'lost' | 'late' | 'stuck';
  reportLagMs: number;
  loadMs: number;
}

interface Engine {
  version: string;
  adapters: string[];
  role: string;
  boot: number;
  lastFencing: number;
  isUp: boolean;
  loading: { readonly sinceMs: number; readonly isOrdered: boolean } | undefined;
  reports: EngineLoad[];
}

/**
 * Simulates two nodes that compete for the lease of a pool of engines, half of which do not check fencing numbers. Violated
 * invariants are added to `problems`.
 */
export function simulateOrders(size: number) {
  const switches: Switches = { platform: 'ok', orders: 'ok', reportLagMs: 200, loadMs: 600 };
  const problems = new Set<string>();
  const records: AuditRecord[] = [];
  const declared = { version: 'v1', generation: 1 };
  const counts = { accepted: 0, refused: 0, fewestServing: size };
  let highestFencing = 0;
  let stored: { version: number; value: unknown } = { version: 0, value: undefined };
  const engines = Array.from({ length: size }, (): Engine => ({
    version: '',
    adapters: [],
    role: 'any',
    boot: 1,
    lastFencing: 0,
    isUp: true,
    loading: undefined,
    reports: [],
  }));
  const getPool = (): PoolConfig =>
    ({
      model: 'm',
      weightVersion: declared.version,
      adapters: ['script'],
      servers: engines.map((_, i) => ({ name: String(i), role: 'story', checksFencing: i % 2 === 0 })),
    }) as unknown as PoolConfig;
  const countServing = (): number => engines.filter((e) => e.isUp && e.version !== '' && !e.loading).length;

  const runLoad = async (engine: Engine, isOrdered: boolean, finish: () => void): Promise<void> => {
    const { boot } = engine;
    engine.loading = { sinceMs: Date.now(), isOrdered };
    counts.fewestServing = Math.min(counts.fewestServing, countServing());
    await sleep(switches.loadMs);
    if (engine.boot !== boot) return;
    engine.loading = undefined;
    finish();
  };
  const handleOrder = (index: number, order: EngineOrder): OrderResult => {
    const engine = engines[index];
    if (engine?.isUp !== true) return { kind: 'unknown', detail: 'down' };
    if (Date.now() > order.deadline) return { kind: 'deadline-passed' };
    if (index % 2 === 0 && order.fencing < engine.lastFencing) {
      return { kind: 'stale-fencing', lastFencing: engine.lastFencing };
    }
    if (order.fencing < highestFencing) problems.add('an order of a previous lease holder was executed');
    highestFencing = Math.max(highestFencing, order.fencing);
    engine.lastFencing = order.fencing;
    counts.accepted += 1;
    // A load that an engine started by itself shows to the rollout only after the lag of the load reports.
    const isVisible = (e: Engine): boolean =>
      e.loading !== undefined && (e.loading.isOrdered || Date.now() - e.loading.sinceMs > 2500);
    if (engines.filter(isVisible).length >= 2) problems.add('more than two engines load at once');
    if (isVisible(engine)) problems.add('an engine got an order while loading');
    void runLoad(engine, true, () => {
      if (order.type === 'load_weights') Object.assign(engine, { version: order.version, adapters: [] });
      if (order.type === 'load_adapter') engine.adapters.push(order.adapter ?? '');
      if (order.type === 'set_role') engine.role = order.role ?? '';
    });
    return { kind: 'accepted' };
  };
  const recordReports = (): void => {
    for (const engine of engines) {
      const report = {
        boot_id: String(engine.boot),
        at: Date.now(),
        weight_version: engine.version,
        adapters: [...engine.adapters],
        role: engine.role,
        leaving: false,
        loading: engine.loading !== undefined,
        running_tokens: 0,
        queued_tokens: 0,
      };
      engine.reports = [...engine.reports.slice(-30), report as unknown as EngineLoad];
    }
    if (nodes.filter((n) => n.lease.getFencingToken() !== undefined).length > 1)
      problems.add('two lease holders');
  };

  /** Starts a node. While it is paused its calls do not proceed, as in a stopped process. */
  const startNode = (host: string, incarnation: number) => {
    const processState = { isPaused: false };
    const waitWhilePaused = async (): Promise<void> => {
      while (processState.isPaused) await sleep(100);
    };
    const writeObject = async (_kind: string, _name: string, value: unknown, ifVersion: number) => {
      await waitWhilePaused();
      await sleep(5);
      if (switches.platform === 'down') return { kind: 'unavailable', detail: 'down' };
      const isWritten = stored.version === ifVersion;
      if (isWritten) stored = { version: ifVersion + 1, value };
      await waitWhilePaused();
      if (switches.platform === 'answers-lost') return { kind: 'unknown', detail: 'lost' };
      return { kind: isWritten ? 'written' : 'conflict', version: stored.version };
    };
    const readObject = async () => {
      await waitWhilePaused();
      await sleep(5);
      if (switches.platform !== 'ok') return { kind: 'unavailable', detail: 'down' };
      const object = { kind: 'lease', name: 'orders', ...stored };
      await waitWhilePaused();
      return stored.version === 0 ? { kind: 'absent' } : { kind: 'found', object };
    };
    const platform = { writeObject: writeObject as () => Promise<WriteResult>, readObject };
    const lease: Lease = holdLease({
      platform: platform as unknown as PlatformClient,
      name: 'orders',
      self: { host, incarnation },
    });
    const getEngine = (server: string): Pick<EngineClient, 'readLoad' | 'sendOrder'> => ({
      readLoad: async () => {
        await waitWhilePaused();
        await sleep(5);
        const engine = engines[Number(server)];
        const lag = Math.floor(switches.reportLagMs / 50);
        const value = engine?.isUp === true ? engine.reports.at(-1 - lag) : undefined;
        const error = { kind: 'unreachable', detail: 'down', sent: false } as const;
        return value === undefined ? { ok: false, error } : { ok: true, value };
      },
      sendOrder: async (order) => {
        await waitWhilePaused();
        await sleep(5);
        const fault = switches.orders;
        const delayMs = { late: 1000, stuck: 12_000 }[fault as string];
        if (delayMs !== undefined) void sleep(delayMs).then(() => handleOrder(Number(server), order));
        const isLost = fault === 'lost' || delayMs !== undefined;
        const result = isLost ? undefined : handleOrder(Number(server), order);
        await waitWhilePaused();
        return result === undefined || fault !== 'ok' ? { kind: 'unknown', detail: 'lost' } : result;
      },
    });
    const stop = orderEngines({
      lease,
      getDeclaredPool: () => ({ pool: getPool(), generation: declared.generation }),
      getEngineClient: getEngine,
      recordOrderAudit: (record) => {
        records.push(record);
        return Promise.resolve();
      },
      host,
    });
    return { lease, processState, host, incarnation, stop };
  };
  const nodes = [startNode('node-a', 1), startNode('node-b', 1)];
  const findHolder = (): number =>
    Math.max(
      0,
      nodes.findIndex((n) => n.lease.getFencingToken() !== undefined),
    );
  const stopNode = (index: number): void => {
    nodes[index]?.lease.close();
    nodes[index]?.stop();
  };
  const restartEngine = (index: number): void => {
    const engine = engines[index];
    if (engine === undefined) return;
    Object.assign(engine, { boot: engine.boot + 1, loading: undefined });
    void runLoad(engine, false, () => undefined);
  };
  return {
    switches,
    problems,
    records,
    declared,
    counts,
    engines,
    nodes,
    findHolder,
    recordReports,
    restartEngine,
    releaseNode: (index: number): void => {
      void nodes[index]?.lease.release();
      nodes[index]?.stop();
      const old = nodes[index];
      if (old !== undefined) nodes[index] = startNode(old.host, old.incarnation + 1);
    },
    replaceNode: (index: number): void => {
      stopNode(index);
      const old = nodes[index];
      if (old !== undefined) nodes[index] = startNode(old.host, old.incarnation + 1);
    },
    isDone: (): boolean =>
      engines.every(
        (e) =>
          e.isUp && e.version === declared.version && e.adapters.includes('script') && e.role === 'story',
      ),
    close: (): void => {
      nodes.forEach((_, index) => {
        stopNode(index);
      });
    },
  };
}
