import { createReservationTable, createPlacementQueue, type PlacementQueue } from '@laburnumshift/ask-home';
import { chooseServer, type ServerChoice, type ChoiceDeps } from '@laburnumshift/choose-server';
import type { BackendEntry, PlacementRequest } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker, createServerNotices, type ServerTracker } from '@laburnumshift/track-engines';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createServer } from './fixtures.js';

/**
 * Kinds of calls of one failure domain: calls per second, prompt tokens without cached ones, output tokens, target time to first token
 * and deadline in milliseconds.
 */
const CALL_KINDS = [
  { name: 'tag', priority: 0, perS: 36, tokens: 700, output: 4, targetMs: 1500, deadlineMs: 3000 },
  { name: 'answer', priority: 1, perS: 21, tokens: 250, output: 49, targetMs: 800, deadlineMs: 12_000 },
  { name: 'script', priority: 2, perS: 16, tokens: 3500, output: 64, targetMs: 1000, deadlineMs: 15_000 },
] as const;
const ENGINES = 16;
const HOSTS = 39;
const SLOTS = 12;
const CAPACITY_TOKENS = 81_000;
const PREFILL_TOKENS_PER_MS = 8;
/** Decode time per output token on a busy engine, milliseconds. */
const DECODE_MS_PER_TOKEN = 35;
/** Age of the loads of other hosts that arrive through relays, milliseconds. */
const RELAYED_LOAD_PERIOD_MS = 300;
const REPORT_PERIOD_MS = 150;

export interface CallStats {
  offered: number;
  /** Calls whose first token came within the target, counted from the first attempt. */
  onTime: number;
  served: number;
  /** Time from arrival to refusal, milliseconds, for each refusal. */
  refusedAfterMs: number[];
  /** Callers that retried at the given time and were refused again. */
  refusedTwice: number;
}
interface FleetSimulation {
  /** `home`: the home host places all calls; `hosts`: each host places its own calls with relayed loads. */
  readonly by: 'home' | 'hosts';
  /** Multiple of the usual load. */
  readonly load: number;
  readonly seed: number;
  /** Number of engines that are unavailable, and the time span, milliseconds since the start. */
  readonly lost?: { readonly count: number; readonly fromMs: number; readonly toMs: number };
}
const DURATION_MS = 12_000;

/**
 * Creates simulated engines: a call waits for a slot, prompts are prefilled one after another, and each output token takes a fixed time.
 */
const createEngines = () => {
  const engines = Array.from({ length: ENGINES }, () => ({
    running: 0,
    readyMs: 0,
    waiting: [] as (() => void)[],
  }));
  const run = (
    index: number,
    tokens: number,
    output: number,
    onFirstToken: () => void,
    onEnd: () => void,
  ): void => {
    const engine = engines[index];
    if (engine === undefined) return;
    const begin = (): void => {
      engine.running += 1;
      engine.readyMs = Math.max(engine.readyMs, performance.now()) + tokens / PREFILL_TOKENS_PER_MS;
      setTimeout(() => {
        onFirstToken();
        setTimeout(() => {
          engine.running -= 1;
          engine.waiting.shift()?.();
          onEnd();
        }, output * DECODE_MS_PER_TOKEN);
      }, engine.readyMs - performance.now());
    };
    if (engine.running < SLOTS) begin();
    else engine.waiting.push(begin);
  };
  return { run };
};

/** Simulates calls and placement decisions of one failure domain on a fake clock; returns the results by kind of call. */
export function simulateFleet({
  by,
  load,
  seed,
  lost,
}: FleetSimulation): Readonly<Record<string, CallStats>> {
  const clock = installClock();
  const generator = xoroshiro128plus(seed);
  const pickRandom = (): number => uniformFloat64(generator);
  const servers: readonly BackendEntry[] = Array.from({ length: ENGINES }, (_, index) =>
    createServer(`e${String(index)}`, { slots: SLOTS }),
  );
  const listServers = (): readonly BackendEntry[] => {
    const isLost = lost !== undefined && performance.now() >= lost.fromMs && performance.now() < lost.toMs;
    return isLost ? servers.slice(lost.count) : servers;
  };
  const serverTrackers = Array.from({ length: HOSTS }, createServerTracker);
  const reservations = createReservationTable();
  const lastRequestNumbers = serverTrackers.map(() => 0);
  /** Last reported loads by host. */
  const reportedLoads = new Map<ServerTracker, ReturnType<ServerTracker['listLoads']>>();
  const computeReportedLoads = (server: string, excludedTracker?: ServerTracker) => {
    const sum = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };
    for (const [serverTracker, loads] of reportedLoads) {
      const serverLoad = serverTracker === excludedTracker ? undefined : loads.find(([id]) => id === server);
      if (serverLoad === undefined) continue;
      sum.inFlight += serverLoad[1];
      sum.pendingTokens += serverLoad[2];
      sum.heldTokens += serverLoad[3];
    }
    return sum;
  };
  const periodMs = by === 'home' ? REPORT_PERIOD_MS : RELAYED_LOAD_PERIOD_MS;
  for (const [host, serverTracker] of serverTrackers.entries()) {
    const report = (): void => {
      reportedLoads.set(serverTracker, serverTracker.listLoads());
      reservations.clearReservations(String(host), 1, lastRequestNumbers[host] ?? 0);
      setTimeout(report, periodMs);
    };
    setTimeout(report, pickRandom() * periodMs);
  }
  const createDeps = (
    serverTracker: ServerTracker,
    getOthers: ChoiceDeps['sharing']['getLoadOfOthers'],
  ): ChoiceDeps =>
    ({
      serverTracker,
      notices: createServerNotices(),
      fleet: {
        listBackends: listServers,
        getWeights: () => undefined,
        findNextWeights: () => undefined,
        getConfig: () => ({
          stores: [],
          services: new Map([
            [
              'm',
              { engine: { slots: SLOTS, capacityTokens: CAPACITY_TOKENS, linkMbps: 1, bytesPerToken: 1 } },
            ],
          ]),
        }),
      },
      transferPlanner: {
        planFetches: () => () => ({ localTokens: 0, fetchTokens: 0, slowdown: 1, sources: [] }),
        planTransfers: () => undefined,
      },
      sharing: {
        getLoadOfOthers: getOthers,
        countCoveredHosts: () => HOSTS - 1,
        countReportingHosts: () => HOSTS,
      },
      bounds: { versionMs: 10_000 },
      pickRandom,
      limits: {
        hasRoom: () => true,
        takeRoom: () => undefined,
        estimateRoom: () => ({ firstMs: 0, perCallMs: 0 }),
      },
      getHomeDomain: () => (by === 'home' ? 'a' : undefined),
    }) as unknown as ChoiceDeps;
  const createQueue = (deps: ChoiceDeps): PlacementQueue =>
    createPlacementQueue({
      chooseServer: (request, getReservedTokens) => chooseServer({ ...deps, getReservedTokens }, request),
      recordFirstAttempt: () => undefined,
      takeResend: () => true,
    });
  const homeServerTracker = createServerTracker();
  const homePlacementQueue = createQueue(
    createDeps(homeServerTracker, (server) => {
      const [reported, reserved] = [computeReportedLoads(server), reservations.getLoad(server)];
      return {
        inFlight: reported.inFlight + reserved.inFlight,
        pendingTokens: reported.pendingTokens + reserved.pendingTokens,
        heldTokens: reported.heldTokens + reserved.heldTokens,
      };
    }),
  );
  const placementQueues = serverTrackers.map((serverTracker) =>
    by === 'home'
      ? homePlacementQueue
      : createQueue(createDeps(serverTracker, (server) => computeReportedLoads(server, serverTracker))),
  );
  const engines = createEngines();
  const statsByKind: Record<string, CallStats> = Object.fromEntries(
    CALL_KINDS.map(({ name }) => [
      name,
      { offered: 0, onTime: 0, served: 0, refusedAfterMs: [], refusedTwice: 0 },
    ]),
  );

  const beginCall = (kind: (typeof CALL_KINDS)[number], startedMs: number, isRetry: boolean): void => {
    const result = statsByKind[kind.name];
    const host = Math.floor(pickRandom() * HOSTS);
    const [serverTracker, placementQueue] = [serverTrackers[host], placementQueues[host]];
    if (result === undefined || serverTracker === undefined || placementQueue === undefined) return;
    const tokens = kind.tokens * (0.4 + 1.2 * pickRandom());
    const arrivedMs = performance.now();
    const endsMs = startedMs + kind.deadlineMs;
    const buildPlacementRequest = (): PlacementRequest => ({
      callId: 'c',
      service: 'm',
      prompt: {
        model: 'model',
        inputTokens: tokens,
        maxOutputTokens: kind.output * 2,
        expectedOutputTokens: kind.output,
        pieces: [{ id: String(Math.floor(pickRandom() * 500)), tokens }],
      },
      cacheOwner: 'shared',
      priority: kind.priority,
      targetMs: kind.targetMs,
      remainingMs: endsMs - performance.now(),
      waitedMs: performance.now() - arrivedMs,
      bodyBytes: 1000,
      failureDomain: 'a',
      isResend: false,
      excluded: [],
    });
    const number = (lastRequestNumbers[host] = (lastRequestNumbers[host] ?? 0) + 1);
    const handleChoice = (choice: ServerChoice): void => {
      if (choice.kind === 'wait') {
        setTimeout(() => {
          placementQueue.submitPlacementRequest(buildPlacementRequest(), handleChoice);
        }, 0);
        return;
      }
      if (choice.kind === 'refuse') {
        result.refusedAfterMs.push(performance.now() - arrivedMs);
        result.refusedTwice += Number(isRetry);
        if (isRetry) return;
        setTimeout(() => {
          beginCall(kind, startedMs, true);
        }, choice.retryAfterMs);
        return;
      }
      const work = { uncachedTokens: tokens, totalTokens: tokens + kind.output };
      if (by === 'home') reservations.addReservation(String(host), 1, number, choice.server.id, work);
      const tracked = serverTracker.beginCall(choice.server.id, work);
      engines.run(
        Number(choice.server.id.slice(1)),
        tokens,
        kind.output,
        () => {
          tracked.observeFirstEvent();
          result.served += Number(performance.now() <= endsMs);
          result.onTime += Number(performance.now() - startedMs <= kind.targetMs);
        },
        () => {
          tracked.finish('served');
        },
      );
    };
    placementQueue.submitPlacementRequest(buildPlacementRequest(), handleChoice);
  };
  for (const kind of CALL_KINDS) {
    const result = statsByKind[kind.name];
    for (
      let atMs = 0;
      atMs < DURATION_MS;
      atMs += (-Math.log(1 - pickRandom()) * 1000) / (kind.perS * load)
    ) {
      if (result !== undefined) result.offered += 1;
      setTimeout(() => {
        beginCall(kind, performance.now(), false);
      }, atMs);
    }
  }
  clock.tick(DURATION_MS + 8000);
  clock.uninstall();
  return statsByKind;
}
