import { readMonotonicMs, readWallMs, runEvery } from '@laburnumshift/clock';
import type { Site } from '@laburnumshift/fakes/site';

const RUNS_EVERY_MS = 20;
const LINK_EVERY_MS = 1_000;
const MS_PER_S = 1_000;

/** What a site does over time. */
interface SiteMeter {
  readonly getPeakLinkUse: () => number;
  readonly getLastRuns: () => Readonly<Record<string, number>>;
}

/** Watches the links and the engines of a site while the process lives. */
export function createSiteMeter(site: Site, linkRates: ReadonlyMap<string, number>): SiteMeter {
  const counts = new Map<string, number>();
  const lastRuns: Record<string, number> = {};
  const moved = new Map<string, number>();
  let peak = 0;
  let measuredAtMs = readMonotonicMs();
  const reportError = (error: unknown): void => {
    process.stderr.write(`fakes: ${String(error)}\n`);
  };
  runEvery(
    RUNS_EVERY_MS,
    () => {
      for (const [name, engine] of site.engines) {
        const count = Object.values(engine.getCounters().runs).reduce((sum, runs) => sum + runs, 0);
        if (count !== counts.get(name)) lastRuns[name] = readWallMs();
        counts.set(name, count);
      }
    },
    reportError,
  );
  runEvery(
    LINK_EVERY_MS,
    () => {
      const nowMs = readMonotonicMs();
      const seconds = (nowMs - measuredAtMs) / MS_PER_S;
      measuredAtMs = nowMs;
      for (const [name, store] of site.stores) {
        const { linkBytes } = store.getCounters();
        const share = (linkBytes - (moved.get(name) ?? 0)) / (seconds * (linkRates.get(name) ?? Infinity));
        if (seconds > 0) peak = Math.max(peak, share);
        moved.set(name, linkBytes);
      }
    },
    reportError,
  );
  return { getPeakLinkUse: () => peak, getLastRuns: () => lastRuns };
}
