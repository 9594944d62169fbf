import { compileConfig, parseHead } from '@laburnumshift/check-declarations';
import { splitPoolIntoCells } from '@laburnumshift/manage-cell';
import { pack } from 'msgpackr';
import { buildHosts } from './build-hosts.js';
import { buildSegments } from './build-segments.js';
import { measureHeap } from './measure-heap.js';
import type { Series } from './series.js';
import { measureTime } from './measure-time.js';

const ACCOUNTS = [10, 100, 1000, 4100];
const ENGINES = [70, 700, 4200, 12_000];

/** Measures what a node does at each change of the configuration and what it keeps. */
export async function measureConfig(): Promise<readonly Series[]> {
  const makeSeries = (name: string, unit: string, per: string, points: Series['points']): Series => ({
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
    makeSeries(
      'compile a configuration',
      'us',
      'accounts',
      ACCOUNTS.map((x) => {
        const { head, segments } = buildSegments(x, 70);
        return { x, y: measureTime(() => compileConfig(head, [...segments.values()])) };
      }),
    ),
    makeSeries(
      'check a head',
      'us',
      'accounts',
      ACCOUNTS.map((x) => {
        const { head } = buildSegments(x, 70);
        return { x, y: measureTime(() => parseHead(head)) };
      }),
    ),
    makeSeries(
      'encode a head',
      'us',
      'accounts',
      ACCOUNTS.map((x) => {
        const { head } = buildSegments(x, 70);
        return { x, y: measureTime(() => pack(head)) };
      }),
    ),
    makeSeries(
      'split pools into cells',
      'us',
      'engines',
      ENGINES.map((x) => {
        const pools = [...buildSegments(1, x).segments.values()].flatMap((segment) => segment.pools);
        return { x, y: measureTime(() => pools.map((pool) => splitPoolIntoCells(pool.name, pool.servers))) };
      }),
    ),
    makeSeries(
      'compare a host list',
      'us',
      'hosts',
      ENGINES.map((x) => {
        const hosts = buildHosts(0, x);
        return { x, y: measureTime(() => JSON.stringify(hosts)) };
      }),
    ),
    makeSeries(
      'size of a host list on the platform',
      'bytes',
      'hosts',
      ENGINES.map((x) => ({ x, y: JSON.stringify(buildHosts(0, x)).length })),
    ),
    makeSeries(
      'size of a head on the platform',
      'bytes',
      'accounts',
      ACCOUNTS.map((x) => ({ x, y: JSON.stringify(buildSegments(x, 70).head).length })),
    ),
    makeSeries('memory of accounts', 'bytes', 'accounts', memory),
    makeSeries('memory of engines', 'bytes', 'engines', engineMemory),
  ];
}
