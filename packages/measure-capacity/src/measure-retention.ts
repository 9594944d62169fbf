import { createRetentionPlanner } from '@laburnumshift/plan-retention';
import { createCacheDirectory } from '@laburnumshift/track-cache';
import type { CacheDirectory, RetentionPlanner, RunReport, StoreState } from '@laburnumshift/types';
import { buildRunReport } from './build-run-report.js';
import { measureHeap } from './measure-heap.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureTime } from './measure-time.js';

const PROMPTS = [10, 100, 1000, 2500];
const PIECES = 8;
const PIECE_BYTES = 1e8;

/** Measures the retention step of a cell by the pieces in its store. */
export async function measureRetention(): Promise<readonly Series[]> {
  const steps: Point[] = [];
  const memory: Point[] = [];
  const uses: Point[] = [];
  for (const prompts of PROMPTS) {
    const x = prompts * PIECES;
    const reports = Array.from({ length: prompts }, (_, i) =>
      buildRunReport(`${String(i).padStart(5, '0')}p`, PIECES, 'engine-1-0001'),
    );
    const stores = [buildStore(x)];
    const { planner, directory } = buildPlanner(reports);
    let atMs = prompts;
    steps.push({ x, y: measureTime(() => planner.planChanges(stores, directory, (atMs += 1))) });
    memory.push({ x, y: await measureHeap(() => buildPlanner(reports)) });
    if (prompts === PROMPTS[1]) {
      const us = measureTime((turn) => {
        const report = reports[turn % prompts];
        if (report === undefined) return;
        atMs += 1;
        planner.recordUse(report, atMs);
        planner.planExports(report, stores, directory, atMs);
      });
      uses.push({ x: PIECES, y: us });
    }
  }
  const listed = { scope: 's'.repeat(43), chain: 'c'.repeat(32), tier: 'disk', generation: 12, length: 64 };
  const text = JSON.stringify({ ...listed, checksum: 'c'.repeat(64), bytes: PIECE_BYTES });
  return [
    { name: 'size of a listed piece', unit: 'bytes', per: 'pieces', points: [{ x: 1, y: text.length }] },
    { name: 'plan changes', unit: 'us', per: 'stored pieces', points: steps },
    { name: 'record a use and plan exports', unit: 'us', per: 'pieces', points: uses },
    { name: 'memory of stored pieces with their uses', unit: 'bytes', per: 'stored pieces', points: memory },
  ];
}

function buildPlanner(reports: readonly RunReport[]): {
  readonly planner: RetentionPlanner;
  readonly directory: CacheDirectory;
} {
  const planner = createRetentionPlanner({
    pieceBytes: PIECE_BYTES,
    pieceTokens: 2000,
    prefillTokensPerSecond: 20_000,
    getWeights: () => ({ perMs: 1, perKiloTokenRecomputed: 5, perMebibyteMoved: 0.1 }),
  });
  const directory = createCacheDirectory();
  for (const [i, report] of reports.entries()) {
    planner.recordUse(report, i);
    for (const { chain } of report.pieces) {
      directory.recordStoredPiece({
        scope: report.cacheScope,
        chain,
        store: 'store-1',
        tier: 'disk',
        generation: 1,
        length: 64,
        checksum: 'c'.repeat(64),
        bytes: PIECE_BYTES,
      });
    }
  }
  return { planner, directory };
}

/** A store that is three quarters full. */
function buildStore(pieces: number): StoreState {
  const used = pieces * PIECE_BYTES;
  const sizes = { memoryBytes: 64e9, diskBytes: used / 0.75, linkBytesPerSecond: 3e9 };
  return {
    host: {
      name: 'store-1',
      url: 'http://10.60.0.1:9000',
      failureDomain: 'd',
      ...sizes,
      diskBytesPerSecond: 1e9,
    },
    stat: { ...sizes, memoryUsed: 0, diskUsed: used, linkQueuedBytes: 0, otherShare: 0 },
    alive: true,
  };
}
