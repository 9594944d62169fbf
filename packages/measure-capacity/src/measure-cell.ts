import { sleep } from '@laburnumshift/clock';
import { createCacheDirectory } from '@laburnumshift/track-cache';
import type { CacheDirectory } from '@laburnumshift/types';
import { buildCell } from './build-cell.js';
import { buildPlaceRequest } from './build-place-request.js';
import { buildRunReport } from './build-run-report.js';
import { measureHeap } from './measure-heap.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureTime } from './measure-time.js';
import { measureProcessorTime } from './measure-processor-time.js';

const PIECES = [8, 32, 128];
const ENGINES = [2, 8, 24];
const ENTRIES = [1000, 10_000, 100_000];
const CALLS = 400;

/** Measures the home of a cell: placement with its report, cache events and the directory's memory. */
export async function measureCell(): Promise<readonly Series[]> {
  const byPieces: Point[] = [];
  for (const x of PIECES) byPieces.push({ x, y: await measurePlacements(24, x) });
  const byEngines: Point[] = [];
  for (const x of ENGINES) byEngines.push({ x, y: await measurePlacements(x, 8) });
  const memory: Point[] = [];
  for (const x of ENTRIES) memory.push({ x, y: await measureHeap(() => buildDirectory(x)) });
  const directory = buildDirectory(10_000);
  let seq = 10_000_000;
  const event = measureTime((turn) =>
    directory.applyEvent(`engine-1-${String(turn % 24).padStart(4, '0')}`, {
      seq: (seq += 1),
      at: 1,
      type: turn % 2 === 0 ? 'stored' : 'evicted',
      scope: 'scope-1',
      chain: String(turn % 5000).padStart(32, '0'),
    }),
  );
  return [
    { name: 'place and report a run', unit: 'us', per: 'pieces', points: byPieces },
    { name: 'place and report by engines', unit: 'us', per: 'engines', points: byEngines },
    { name: 'apply a cache event', unit: 'us', per: 'events', points: [{ x: 1, y: event }] },
    { name: 'memory of directory entries', unit: 'bytes', per: 'entries', points: memory },
  ];
}

async function measurePlacements(engines: number, pieces: number): Promise<number> {
  const { home, servers } = buildCell(engines);
  await sleep(1);
  const requests = Array.from({ length: CALLS }, (_, i) => buildPlaceRequest(`p${String(i % 40)}`, pieces));
  const reports = requests.map((_, i) =>
    buildRunReport(`p${String(i % 40)}`, pieces, servers[i % servers.length]?.name ?? ''),
  );
  const us = await measureProcessorTime(CALLS, async (turn) => {
    const request = requests[turn % CALLS];
    const report = reports[turn % CALLS];
    if (request === undefined || report === undefined) return;
    const requestId = `r${String(turn)}`;
    const reply = await home.place({ ...request, requestId });
    if (reply.kind !== 'granted') throw new Error(`not granted: ${reply.kind}`);
    home.reportRun({ ...report, requestId, engine: reply.grant.engine });
  });
  home.close();
  return us;
}

function buildDirectory(entries: number): CacheDirectory {
  const directory = createCacheDirectory();
  const perEngine = Math.ceil(entries / 24);
  for (let engine = 0; engine < 24; engine += 1) {
    const name = `engine-1-${String(engine).padStart(4, '0')}`;
    const pieces = Array.from({ length: perEngine }, (_, i) => ({
      scope: 'scope-1',
      chain: String(engine * perEngine + i).padStart(32, '0'),
    }));
    directory.replaceEngine(name, 1, pieces);
  }
  return directory;
}
