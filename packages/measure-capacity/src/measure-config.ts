import { compileConfig, parseHead } from '@laburnumshift/check-declarations';
import { splitPool } from '@laburnumshift/manage-cell';
import { pack } from 'msgpackr';
import { buildHosts } from './build-hosts.js';
import { buildSegments } from './build-segments.js';
import { measureHeap } from './measure-heap.js';
import type { Series } from './series.js';
import { timeBest } from './time-best.js';

const ACCOUNTS = [10, 100, 1000, 4100];
const ENGINES = [70, 700, 4200, 12_000];

/** Measures what a node does at each change of the configuration and what it keeps. */
export async function measureConfig(): Promise<readonly Series[]> {
  const series = (name: string, unit: string, per: string, points: Series['points']): Series => ({
    name,
    unit,
    per,
    points,
  });
  const memory = [];
  for (const x of ACCOUNTS) {
    const y = await measureHeap(() => {
      const { head, segments } = buildSegments(x, 70);
      const parsed = JSON.parse(JSON.stringify([...segments])) as [string, never][];
      const contents = new Map<string, never>(parsed);
      return { head, contents, config: compileConfig(head, [...contents.values()]) };
    });
    memory.push({ x, y });
  }
  const engineMemory = [];
  for (const x of ENGINES) {
    const y = await measureHeap(() => JSON.parse(JSON.stringify([...buildSegments(1, x).segments])));
    engineMemory.push({ x, y });
  }
  return [
    series(
      'compile a configuration',
      'us',
      'accounts',
      ACCOUNTS.map((x) => {
        const { head, segments } = buildSegments(x, 70);
        return { x, y: timeBest(() => compileConfig(head, [...segments.values()])) };
      }),
    ),
    series(
      'check a head',
      'us',
      'accounts',
      ACCOUNTS.map((x) => {
        const { head } = buildSegments(x, 70);
        return { x, y: timeBest(() => parseHead(head)) };
      }),
    ),
    series(
      'encode a head',
      'us',
      'accounts',
      ACCOUNTS.map((x) => {
        const { head } = buildSegments(x, 70);
        return { x, y: timeBest(() => pack(head)) };
      }),
    ),
    series(
      'split pools into cells',
      'us',
      'engines',
      ENGINES.map((x) => {
        const pools = [...buildSegments(1, x).segments.values()].flatMap((segment) => segment.pools);
        return { x, y: timeBest(() => pools.map((pool) => splitPool(pool.name, pool.servers))) };
      }),
    ),
    series(
      'compare a host list',
      'us',
      'hosts',
      ENGINES.map((x) => {
        const hosts = buildHosts(0, x);
        return { x, y: timeBest(() => JSON.stringify(hosts)) };
      }),
    ),
    series(
      'size of a host list on the platform',
      'bytes',
      'hosts',
      ENGINES.map((x) => ({ x, y: JSON.stringify(buildHosts(0, x)).length })),
    ),
    series(
      'size of a head on the platform',
      'bytes',
      'accounts',
      ACCOUNTS.map((x) => ({ x, y: JSON.stringify(buildSegments(x, 70).head).length })),
    ),
    series('memory of accounts', 'bytes', 'accounts', memory),
    series('memory of engines', 'bytes', 'engines', engineMemory),
  ];
}
