import { createPlacementQueue, createReservationTable } from '@laburnumshift/ask-home';
import { chooseServer, type ChoiceDeps, type ServerChoice } from '@laburnumshift/choose-server';
import { createCostEstimator } from '@laburnumshift/estimate-cost';
import type { BackendLoad, PlacementRequest } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker, createServerNotices } from '@laburnumshift/track-engines';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createPlacementRequest, createServer } from './fixtures.js';

const SERVERS = 4;
const SLOTS = 6;
const QUEUE = 24;
const HOSTS = 22;
const REPORT_PERIOD_MS = 150;
const DURATION_MS = 10_000;
const TARGET_MS = 322;
const DEADLINE_MS = 1500;
/** Kinds of calls: their share, time at a usual server in milliseconds and body size. The mean time is 64 ms. */
const KINDS = [
  { name: 'small', share: 0.88, ms: 43, bodyBytes: 500, priority: 0 },
  { name: 'large', share: 0.12, ms: 215, bodyBytes: 40_000, priority: 1 },
] as const;

interface KindStats {
  offered: number;
  onTime: number;
  served: number;
  /** Calls that a server refused because its queue was full; they are not sent again. */
  turnedAway: number;
  /** Calls that were refused without being sent, and did not come back in time. */
  refused: number;
  /** Times in server and placement queues, milliseconds. */
  readonly waitsMs: number[];
  /** Estimation errors as shares of the time that the call took at a usual server. */
  readonly errors: number[];
}
interface PlainSimulation {
  readonly seed: number;
  readonly callsPerS: number;
  /** `load`: by load alone, as without costs and conditions; `cost`: by expected completion. */
  readonly by: 'load' | 'cost';
  /** What servers report with their answers; `none` when absent. */
  readonly reports?: 'none' | 'three' | 'four' | 'false';
  /** Slowness of the first server from 2 to 6 s. */
  readonly slowness?: number;
  /** Time from which servers report nothing any more, milliseconds. */
  readonly reportsEndMs?: number;
}

/** Simulates one failure domain of hosts, of which the first is the home, and the servers of a plain service as queues. */
export function simulatePlainService(options: PlainSimulation): Readonly<Record<string, KindStats>> {
  const { seed, callsPerS, by, reports = 'none', slowness = 1, reportsEndMs = Infinity } = options;
  const clock = installClock();
  const startMs = performance.now();
  const generator = xoroshiro128plus(seed);
  const pickRandom = (): number => uniformFloat64(generator);
  const readMs = (): number => performance.now() - startMs;
  const stats: Record<string, KindStats> = Object.fromEntries(
    KINDS.map(({ name }) => [
      name,
      { offered: 0, onTime: 0, served: 0, turnedAway: 0, refused: 0, waitsMs: [], errors: [] },
    ]),
  );
  const entries = Array.from({ length: SERVERS }, (_, index) =>
    createServer(`s${String(index)}`, { slots: SLOTS, versions: new Map() }),
  );
  const servers = entries.map(() => ({ running: 0, waiting: [] as (() => void)[] }));
  const getSlowness = (index: number): number =>
    index === 0 && readMs() >= 2000 && readMs() < 6000 ? slowness : 1;
  const readLoad = (index: number): BackendLoad | undefined => {
    const server = servers[index];
    if (server === undefined || reports === 'none' || readMs() >= reportsEndMs) return undefined;
    if (reports === 'false' && index === 1) return { running: SLOTS, waiting: 20, slots: SLOTS, slowness: 0 };
    const load = { running: server.running, waiting: server.waiting.length, slots: SLOTS };
    return reports === 'three' ? load : { ...load, slowness: getSlowness(index) };
  };

  const hosts = Array.from({ length: HOSTS }, () => ({
    serverTracker: createServerTracker(),
    costs: createCostEstimator(),
    number: 0,
  }));
  const [home] = hosts;
  if (home === undefined) throw new RangeError('there must be a home');
  const reservations = createReservationTable();
  const reported = new Map<
    number,
    { loads: Map<string, number>; works: Map<string, { calls: number; ms: number }> }
  >();
  for (const [index, host] of hosts.entries()) {
    const report = (): void => {
      reservations.clearReservations(String(index), 1, host.number);
      if (host !== home) {
        reported.set(index, {
          loads: new Map(host.serverTracker.listLoads().map(([id, calls]) => [id, calls])),
          works: new Map(host.serverTracker.listWork().map(([id, calls, ms]) => [id, { calls, ms }])),
        });
        for (const condition of host.serverTracker.listConditions())
          if (by === 'cost') home.serverTracker.observeCondition(condition);
      }
      setTimeout(report, REPORT_PERIOD_MS);
    };
    setTimeout(report, pickRandom() * REPORT_PERIOD_MS);
  }
  const deps = {
    serverTracker: home.serverTracker,
    notices: createServerNotices(),
    fleet: { listBackends: () => entries, getConfig: () => undefined },
    sharing: {
      getLoadOfOthers: (id: string) => ({
        ...reservations.getLoad(id),
        inFlight:
          reservations.getLoad(id).inFlight +
          [...reported.values()].reduce((sum, { loads }) => sum + (loads.get(id) ?? 0), 0),
      }),
      getWorkOfOthers: (id: string) =>
        [...reported.values()].reduce((sum, { works }) => {
          const { calls = 0, ms = 0 } = works.get(id) ?? {};
          return { calls: sum.calls + calls, ms: sum.ms + ms };
        }, reservations.getWork(id)),
    },
    ...(by === 'cost' && { costs: home.costs }),
    limits: { hasRoom: () => true, takeRoom: () => undefined },
    pickRandom,
  } as unknown as ChoiceDeps;
  const queue = createPlacementQueue({
    chooseServer: (request) => chooseServer(deps, request),
    recordFirstAttempt: () => undefined,
    takeResend: () => true,
  });

  const beginCall = (kind: (typeof KINDS)[number], bornMs: number): void => {
    const result = stats[kind.name];
    const hostIndex = Math.floor(pickRandom() * HOSTS);
    const host = hosts[hostIndex];
    if (result === undefined || host === undefined) return;
    const callMs = kind.ms * (0.7 + 0.6 * pickRandom());
    const callKind = { service: 'm', route: 'r', method: 'POST', bodyBytes: kind.bodyBytes };
    const costMs = by === 'cost' ? host.costs.estimateCallMs(callKind) : undefined;
    const arrivedMs = readMs();
    const number = (host.number += 1);
    const buildRequest = (): PlacementRequest =>
      createPlacementRequest({
        priority: kind.priority,
        targetMs: TARGET_MS,
        remainingMs: bornMs + DEADLINE_MS - readMs(),
        waitedMs: readMs() - arrivedMs,
        costMs,
      });
    const send = (choice: Extract<ServerChoice, { kind: 'server' }>): void => {
      const index = Number(choice.server.id.slice(1));
      const server = servers[index];
      if (server === undefined) return;
      const work = { uncachedTokens: 0, totalTokens: 0, expectedMs: costMs };
      if (host !== home) reservations.addReservation(String(hostIndex), 1, number, choice.server.id, work);
      const tracked = host.serverTracker.beginCall(choice.server.id, work);
      const sentMs = readMs();
      const observeLoad = (isFull: boolean): void => {
        const load = readLoad(index);
        if (load !== undefined) host.serverTracker.observeLoad(choice.server.id, load, isFull);
      };
      if (server.waiting.length >= QUEUE) {
        result.turnedAway += 1;
        observeLoad(true);
        tracked.finish('refused');
        return;
      }
      const begin = (): void => {
        const slownessNow = getSlowness(index);
        server.running += 1;
        const waitMs = readMs() - sentMs + (sentMs - arrivedMs);
        setTimeout(() => {
          server.running -= 1;
          server.waiting.shift()?.();
          observeLoad(false);
          tracked.finish('served');
          const state = host.serverTracker.getState(choice.server.id);
          const queueMs = costMs === undefined ? 0 : Math.max(0, choice.expectedMs - costMs * state.slowness);
          if (costMs !== undefined || (state.load?.waiting ?? 0) === 0)
            host.costs.observeCall(callKind, {
              elapsedMs: readMs() - sentMs,
              queueMs,
              slowness: state.slowness,
            });
          if (costMs !== undefined) result.errors.push(Math.abs(costMs - callMs) / callMs);
          result.waitsMs.push(waitMs);
          result.served += Number(readMs() <= bornMs + DEADLINE_MS);
          result.onTime += Number(readMs() <= bornMs + TARGET_MS);
        }, callMs * slownessNow);
      };
      if (server.running < SLOTS) begin();
      else server.waiting.push(begin);
    };
    const handleChoice = (choice: ServerChoice): void => {
      if (choice.kind === 'server') send(choice);
      else if (choice.kind === 'wait')
        setTimeout(() => queue.submitPlacementRequest(buildRequest(), handleChoice), 0);
      else if (choice.retryAfterMs < (bornMs + DEADLINE_MS - readMs()) / 3)
        setTimeout(() => {
          beginCall(kind, bornMs);
        }, choice.retryAfterMs);
      else result.refused += 1;
    };
    queue.submitPlacementRequest(buildRequest(), handleChoice);
  };
  for (let atMs = 0; atMs < DURATION_MS; atMs += (-Math.log(1 - pickRandom()) * 1000) / callsPerS) {
    const kind = pickRandom() < KINDS[0].share ? KINDS[0] : KINDS[1];
    setTimeout(() => {
      const result = stats[kind.name];
      if (result !== undefined) result.offered += 1;
      beginCall(kind, readMs());
    }, atMs);
  }
  clock.tick(DURATION_MS + 4000);
  clock.uninstall();
  return stats;
}
