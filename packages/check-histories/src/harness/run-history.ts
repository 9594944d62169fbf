import { createPlatformClient } from '@laburnumshift/call-platform';
import type { EngineCounters } from '@laburnumshift/fakes/engine';
import { startSite } from '@laburnumshift/fakes/site';
import { publishConfig } from '@laburnumshift/publish-config';
import { CHILD_FAULTS } from '../faults/child-faults.js';
import type { History } from '../history/history.js';
import type { Schedule } from '../schedule/schedule.js';
import { SCHEDULE_TIMES } from '../schedule/schedule-times.js';
import { buildSegments } from './build-segments.js';
import { createCallerClients } from './create-caller-clients.js';
import { createFleet } from './create-fleet.js';
import { FIRST_VALUES } from './first-values.js';
import { POOLS } from './pools.js';
import type { RunContext } from './run-context.js';
import { runCallers } from './run-callers.js';
import { runFaults } from './run-faults.js';
import { runOperators } from './run-operators.js';
import { watchGenerations } from './watch-generations.js';
import { waitForGeneration } from './wait-for-generation.js';

const NODES = 3;
/** Pieces in an engine's prefix cache; prompts have up to 8, so that pieces are evicted and imported again. */
const ENGINE_PIECES = 9;
const FIRST_TRIES = 5;
const START_LIMIT_MS = 20_000;
/** Longer than the 8 s after which the check of I9 reports a node that is behind. */
const SETTLE_MS = 10_000;

/** Runs a schedule against new fakes and nodes and returns what was seen. */
export async function runHistory(schedule: Schedule): Promise<History> {
  const site = await startSite({
    pools: POOLS,
    enginePieces: ENGINE_PIECES,
    engine: { loadMs: 60, restartMs: 200, eventDelayMs: 20 },
    platform: { weightsPerSecond: 100 },
  });
  const hasChild = schedule.faults.some(({ name }) => CHILD_FAULTS.has(name));
  const fleet = await createFleet(site, NODES, hasChild);
  const context: RunContext = {
    site,
    fleet,
    clients: createCallerClients(),
    completions: [],
    bookings: [],
    publications: [],
    outages: [],
    leavings: [],
    generations: [],
  };
  const stopSampling = watchGenerations(context);
  try {
    await publishFirst(context);
    await Promise.all([
      runCallers(context, schedule),
      runOperators(context, schedule),
      runFaults(context, schedule, SCHEDULE_TIMES.traffic),
    ]);
    const generations = context.publications.flatMap(({ result }) =>
      result.kind === 'published' ? [result.head.generation] : [],
    );
    await waitForGeneration(context, Math.max(1, ...generations), SETTLE_MS);
    return buildHistory(context);
  } finally {
    stopSampling();
    context.clients.close();
    await fleet.close();
    await site.close();
  }
}

async function publishFirst(context: RunContext): Promise<void> {
  const { site } = context;
  const platform = createPlatformClient({ url: site.platform.url, writesPerSecond: 50, readsPerSecond: 100 });
  const folders = buildSegments(FIRST_VALUES, site.addresses, site.older.url);
  const segments = Object.entries(folders).map(([folder, segment]) => ({
    ...segment,
    file: `${folder}/${segment.file}`,
  }));
  // On a busy machine the answer may come late; no fault is injected yet.
  let result = await publishConfig(platform, { segments, author: 'first' });
  for (let tries = 1; tries < FIRST_TRIES && result.kind === 'unavailable'; tries += 1) {
    result = await publishConfig(platform, { segments, author: 'first' });
  }
  platform.close();
  if (result.kind !== 'published') throw new Error(`the first publish failed: ${JSON.stringify(result)}`);
  if (!(await waitForGeneration(context, 1, START_LIMIT_MS))) throw new Error('the nodes did not start');
}

function buildHistory(context: RunContext): History {
  const { site, fleet, completions, bookings, publications, outages, leavings, generations } = context;
  return {
    completions,
    bookings,
    publications,
    outages,
    leavings,
    generations,
    lives: fleet.listLives(),
    engineRuns: Object.fromEntries([...site.engines].map(([name, engine]) => [name, engine.listRuns()])),
    engineWork: computeWork([...site.engines.values()].map((engine) => engine.getCounters())),
    serviceCalls: {
      ...Object.fromEntries([...site.services].map(([name, service]) => [name, service.listCalls()])),
      older: site.older.listCalls(),
    },
  };
}

function computeWork(counters: readonly Readonly<EngineCounters>[]): History['engineWork'] {
  const computeSum = (read: (one: Readonly<EngineCounters>) => number): number =>
    counters.reduce((total, one) => total + read(one), 0);
  return {
    cachedTokens: computeSum((one) => one.promptTokensCached),
    importedTokens: computeSum((one) => one.promptTokensImported),
    importMisses: computeSum((one) => one.importMisses),
    resumedTokens: computeSum((one) => one.resumedTokens),
  };
}
