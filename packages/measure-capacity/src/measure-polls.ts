import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createEngineClient } from '@laburnumshift/call-engine';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { createServiceClient } from '@laburnumshift/call-service';
import { createStoreClient } from '@laburnumshift/call-store';
import type { Series } from './series.js';
import { measureProcessorTime } from './measure-processor-time.js';

const CALLS = 200;
const ROUNDS = 6;
const HOSTS = [10, 100, 1000, 12_000];

/** Measures single polls of the outside systems against a server in another process: own processor time, bytes both ways. */
export async function measurePolls(): Promise<readonly Series[]> {
  const series: Series[] = [];
  const addOne = (name: string, us: number, bytes: number): void => {
    series.push({ name: `${name}: time`, unit: 'us', per: 'polls', points: [{ x: 1, y: us }] });
    series.push({ name: `${name}: bytes`, unit: 'bytes', per: 'polls', points: [{ x: 1, y: bytes }] });
  };
  const measureOne = async (
    name: string,
    kind: string,
    build: (url: string) => {
      readonly poll: () => Promise<{ readonly ok: boolean }>;
      readonly close: () => void;
    },
  ): Promise<void> => {
    const { child, url } = await startServer(10, kind);
    const { poll, close } = build(url);
    const us = await measureProcessorTime(CALLS, async () => {
      if (!(await poll()).ok) throw new Error(`${name} failed`);
    });
    addOne(name, us, (await readBytes(child)) / (CALLS * ROUNDS));
    close();
    child.disconnect();
  };
  await measureOne('engine load', 'engine', (url) => {
    const engine = createEngineClient({ url });
    return { poll: engine.readLoad, close: engine.close };
  });
  await measureOne('store statistic', 'store', (url) => {
    const store = createStoreClient({ name: 'store', url });
    return { poll: store.readStat, close: store.close };
  });
  await measureOne('service load', 'service', (url) => {
    const service = createServiceClient({ url });
    return { poll: service.readLoad, close: service.close };
  });
  const times = [];
  const sizes = [];
  for (const x of HOSTS) {
    const list = await startServer(x);
    const platform = createPlatformClient({ url: list.url, writesPerSecond: 1e6, readsPerSecond: 1e6 });
    const calls = x > 1000 ? 5 : 50;
    times.push({ x, y: await measureProcessorTime(calls, () => platform.listHosts()) });
    sizes.push({ x, y: (await readBytes(list.child)) / (calls * ROUNDS) });
    platform.close();
    list.child.disconnect();
  }
  return [
    ...series,
    { name: 'host list: time', unit: 'us', per: 'hosts', points: times },
    { name: 'host list: bytes', unit: 'bytes', per: 'hosts', points: sizes },
  ];
}

async function startServer(
  hosts: number,
  kind = 'engine',
): Promise<{ readonly child: ChildProcess; readonly url: string }> {
  const child = fork(new URL('./poll-server-main.js', import.meta.url), [String(hosts), kind]);
  const [message] = (await once(child, 'message')) as [{ readonly port: number }];
  return { child, url: `http://127.0.0.1:${String(message.port)}` };
}

async function readBytes(child: ChildProcess): Promise<number> {
  const answer = once(child, 'message');
  child.send('bytes');
  const [message] = (await answer) as [{ readonly bytes: number }];
  return message.bytes;
}
