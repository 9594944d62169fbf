import { sleep } from '@laburnumshift/clock';
import { orderEngines } from '@laburnumshift/order-engines';
import type { PoolConfig } from '@laburnumshift/types';
import { buildSegments } from './build-segments.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

const ENGINES = [10, 100, 1000];
const MODELS = 7;
const RUN_MS = 3000;
const MS_PER_S = 1000;

/** Measures the holder of a pool's lease while all engines are as declared: its reads of load reports and its own time. */
export async function measureOrders(): Promise<readonly Series[]> {
  const reads: Point[] = [];
  const cpu: Point[] = [];
  for (const x of ENGINES) {
    const pool = [...buildSegments(0, x * MODELS).segments.values()][0]?.pools[0];
    if (pool === undefined) throw new Error('no pool');
    const { count, us } = await runHolder(pool);
    reads.push({ x, y: count / (RUN_MS / MS_PER_S) });
    cpu.push({ x, y: us / (RUN_MS / MS_PER_S) });
  }
  return [
    { name: 'load reports read', unit: 'reads/s', per: 'engines of the pool', points: reads },
    { name: 'time without the reads', unit: 'us/s', per: 'engines of the pool', points: cpu },
  ];
}

async function runHolder(pool: PoolConfig): Promise<{ readonly count: number; readonly us: number }> {
  let count = 0;
  const load = {
    boot_id: 'boot-1',
    at: 1_790_000_000_000,
    weight_version: 'v1',
    adapters: [],
    role: 'serve',
    leaving: false,
    loading: false,
    running: 1,
    queued_tokens: 0,
    running_tokens: 0,
    slots: 16,
    other_share: 0,
    last_fencing: 1,
  };
  const stop = orderEngines({
    lease: { getFencingToken: () => 1, getRemainingMs: () => 7000 },
    getDeclaredPool: () => ({ pool, generation: 1 }),
    getEngineClient: () => ({
      readLoad: () => {
        count += 1;
        return Promise.resolve({ ok: true, value: load });
      },
      sendOrder: () => Promise.reject(new Error('no order is due')),
    }),
    recordOrderAudit: () => Promise.resolve(),
    host: 'entry-0000',
  });
  await sleep(MS_PER_S);
  count = 0;
  const start = process.cpuUsage();
  await sleep(RUN_MS);
  const { user, system } = process.cpuUsage(start);
  stop();
  return { count, us: user + system };
}
