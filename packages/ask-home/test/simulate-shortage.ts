import { createPlacementQueue, createReservationTable, type PlacementQueue } from '@laburnumshift/ask-home';
import { chooseServer, type ChoiceDeps, type ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import { createServerNotices, createServerTracker } from '@laburnumshift/track-engines';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createServer } from './fixtures.js';

/** Calls per second at the usual load, prompt tokens in all and cached at every engine, output tokens; times in milliseconds. */
const CALL_KINDS = [
  {
    name: 'large',
    priority: 0,
    perS: 56,
    tokens: 12_000,
    cached: 9122,
    output: 48,
    targetMs: 819,
    endMs: 15_000,
  },
  { name: 'small', priority: 1, perS: 100, tokens: 830, cached: 0, output: 60, targetMs: 808, endMs: 12_000 },
  { name: 'short', priority: 2, perS: 100, tokens: 2370, cached: 0, output: 3, targetMs: 2000, endMs: 3000 },
] as const;
/** Engines of one failure domain, with the figures of the first deployment. */
const ENGINE = { slots: 64, capacityTokens: 120_825, linkMbps: 370_000, bytesPerToken: 163_840 };
const ENGINES = 14;
const PREFILL_TOKENS_PER_MS = 68.2;
const DECODE_MS_PER_TOKEN = 35;
const REPORT_PERIOD_MS = 300;
const DURATION_MS = 15_000;
/** Callers honour a Retry-After up to this share of their remaining time. */
const MAX_RETRY_SHARE = 1 / 3;
/** The first account makes half of all calls. */
const ACCOUNTS = ['half', 'b', 'c', 'd', 'e'];

interface ShortageOptions {
  /** Multiple of the load that fills 0.85 of the memory. */
  readonly load: number;
  readonly seed: number;
  /** Time at which another home without any state replaces the home, milliseconds. */
  readonly homeEndsMs?: number;
  /** Time from which no load reports arrive for two seconds, milliseconds. */
  readonly reportsStopMs?: number;
}
type Kind = (typeof CALL_KINDS)[number];
interface Run {
  readonly kind: Kind;
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
  readonly output: number;
  tokens: number;
  stopTimer?: () => void;
}

/**
 * Simulates an engine: calls wait for a slot and for memory, the most urgent first; prompts are prefilled one after another. When
 * output does not fit, the newest of the least urgent runs is preempted and prefilled again.
 */
const createEngine = (onPreempted: () => void) => {
  let running: Run[] = [];
  let waiting: Run[] = [];
  let readyMs = 0;
  const countTokens = (): number => running.reduce((sum, run) => sum + run.tokens, 0);
  const setTimer = (run: Run, ms: number, onTimer: () => void): void => {
    const timer = setTimeout(onTimer, ms);
    run.stopTimer = () => {
      clearTimeout(timer);
    };
  };
  const evictRun = (): void => {
    const least = Math.max(...running.map(({ kind }) => kind.priority));
    const victim = running.findLast(({ kind }) => kind.priority === least);
    if (victim === undefined) return;
    onPreempted();
    victim.stopTimer?.();
    running = running.filter((run) => run !== victim);
    waiting.unshift(victim);
  };
  const startWaiting = (): void => {
    waiting.sort((a, b) => a.kind.priority - b.kind.priority);
    for (;;) {
      const [run] = waiting;
      if (run === undefined || running.length >= ENGINE.slots) return;
      if (countTokens() + run.tokens > ENGINE.capacityTokens) {
        if (!running.some(({ kind }) => kind.priority > run.kind.priority)) return;
        evictRun();
        waiting.sort((a, b) => a.kind.priority - b.kind.priority);
        continue;
      }
      waiting = waiting.slice(1);
      running.push(run);
      readyMs = Math.max(readyMs, performance.now()) + (run.tokens - run.kind.cached) / PREFILL_TOKENS_PER_MS;
      setTimer(run, readyMs - performance.now(), () => {
        run.onFirstToken();
        run.tokens += run.output;
        while (countTokens() > ENGINE.capacityTokens) evictRun();
        if (!running.includes(run)) return;
        setTimer(run, run.output * DECODE_MS_PER_TOKEN, () => {
          running = running.filter((other) => other !== run);
          run.onEnd();
          startWaiting();
        });
      });
    }
  };
  return {
    run: (run: Run): void => {
      waiting.push(run);
      startWaiting();
    },
  };
};

/** Counts of calls; `onTime` are those with their first token within the target, counted from the first attempt. */
const createStats = () => ({ offered: 0, onTime: 0, served: 0, refused: 0, refusedAgain: 0 });
export type ShortageStats = ReturnType<typeof createStats>;

/** Simulates calls of several accounts for more memory than the engines have; returns results by kind, and by kind and account. */
export function simulateShortage({ load, seed, homeEndsMs, reportsStopMs = Infinity }: ShortageOptions): {
  readonly stats: Readonly<Record<string, ShortageStats>>;
  readonly preemptions: number;
} {
  const clock = installClock();
  const generator = xoroshiro128plus(seed);
  const pickRandom = (): number => uniformFloat64(generator);
  const servers = Array.from({ length: ENGINES }, (_, index) =>
    createServer(`e${String(index)}`, { slots: ENGINE.slots }),
  );
  let preemptions = 0;
  const engines = new Map(servers.map(({ id }) => [id, createEngine(() => (preemptions += 1))]));
  const hostTracker = createServerTracker();
  const reservations = createReservationTable();
  let reported: ReturnType<typeof hostTracker.listLoads> = [];
  let lastNumber = 0;
  const report = (): void => {
    const now = performance.now();
    if (now < reportsStopMs || now > reportsStopMs + 2000) {
      reported = hostTracker.listLoads();
      reservations.clearReservations('h', 1, lastNumber);
    }
    setTimeout(report, REPORT_PERIOD_MS);
  };
  report();
  const createHome = (): PlacementQueue => {
    const deps = {
      serverTracker: createServerTracker(),
      notices: createServerNotices(),
      fleet: {
        listBackends: () => servers,
        getWeights: () => undefined,
        findNextWeights: () => undefined,
        getConfig: () => ({ stores: [], services: new Map([['m', { engine: ENGINE }]]) }),
      },
      transferPlanner: {
        planFetches:
          ({ pieces }: { readonly pieces: readonly { readonly id: string; readonly tokens: number }[] }) =>
          () => ({
            localTokens: pieces.reduce((sum, { id, tokens }) => sum + (id === 'shared' ? tokens : 0), 0),
            fetchTokens: 0,
            slowdown: 1,
            sources: [],
          }),
        planTransfers: () => undefined,
      },
      sharing: {
        getLoadOfOthers: (server: string) => {
          const placed = reservations.getLoad(server);
          const [, inFlight, pendingTokens, heldTokens] = reported.find(([id]) => id === server) ?? [
            '',
            0,
            0,
            0,
          ];
          return {
            inFlight: inFlight + placed.inFlight,
            pendingTokens: pendingTokens + placed.pendingTokens,
            heldTokens: heldTokens + placed.heldTokens,
          };
        },
        countCoveredHosts: () => 38,
        countReportingHosts: () => 39,
      },
      bounds: { versionMs: 10_000 },
      pickRandom,
      limits: { hasRoom: () => true, takeRoom: () => undefined },
      getHomeDomain: () => 'a',
    } as unknown as ChoiceDeps;
    return createPlacementQueue({
      chooseServer: (request, getReservedTokens) => chooseServer({ ...deps, getReservedTokens }, request),
      recordFirstAttempt: () => undefined,
      takeResend: () => true,
    });
  };
  let home = createHome();
  if (homeEndsMs !== undefined)
    setTimeout(() => {
      home = createHome();
    }, homeEndsMs);
  const stats: Record<string, ShortageStats> = {};
  const beginCall = (kind: Kind, account: string, startedMs: number, isReturn: boolean): void => {
    const results = [kind.name, `${kind.name} ${account}`].map((key) => (stats[key] ??= createStats()));
    const count = (name: keyof ShortageStats): void => {
      for (const result of results) result[name] += 1;
    };
    if (!isReturn) count('offered');
    const tokens = kind.tokens * (0.9 + 0.2 * pickRandom());
    const arrivedMs = performance.now();
    const endMs = startedMs + kind.endMs;
    const output = Math.round(kind.output * 4 ** (pickRandom() - 0.5));
    const ask = (): void => {
      const request: PlacementRequest = {
        callId: `${account}${String(arrivedMs)}`,
        service: 'm',
        prompt: {
          model: 'model',
          inputTokens: tokens,
          maxOutputTokens: kind.output * 4,
          expectedOutputTokens: kind.output,
          pieces: [
            { id: 'shared', tokens: kind.cached },
            { id: String(Math.floor(pickRandom() * 500)), tokens: tokens - kind.cached },
          ],
        },
        cacheOwner: 'shared',
        account,
        priority: kind.priority,
        targetMs: kind.targetMs,
        remainingMs: endMs - performance.now(),
        waitedMs: performance.now() - arrivedMs,
        bodyBytes: 1000,
        failureDomain: 'a',
        isResend: false,
        excluded: [],
      };
      home.submitPlacementRequest(request, handleChoice);
    };
    const handleChoice = (choice: ServerChoice): void => {
      if (choice.kind === 'wait') {
        setTimeout(ask, 1);
        return;
      }
      if (choice.kind === 'refuse') {
        count('refused');
        if (isReturn) count('refusedAgain');
        if (choice.retryAfterMs > (endMs - performance.now()) * MAX_RETRY_SHARE) return;
        setTimeout(
          () => {
            beginCall(kind, account, startedMs, true);
          },
          choice.retryAfterMs + 20 * pickRandom(),
        );
        return;
      }
      lastNumber += 1;
      const work = { uncachedTokens: choice.uncachedTokens, totalTokens: tokens + kind.output * 0.7 };
      reservations.addReservation('h', 1, lastNumber, choice.server.id, work);
      const tracked = hostTracker.beginCall(choice.server.id, work);
      let isStarted = false;
      engines.get(choice.server.id)?.run({
        kind,
        output,
        tokens,
        onFirstToken: () => {
          tracked.observeFirstEvent();
          if (isStarted) return;
          isStarted = true;
          if (performance.now() <= endMs) count('served');
          if (performance.now() - startedMs <= kind.targetMs) count('onTime');
        },
        onEnd: () => {
          tracked.finish('served');
        },
      });
    };
    ask();
  };
  for (const kind of CALL_KINDS)
    for (
      let atMs = 0;
      atMs < DURATION_MS;
      atMs += (-Math.log(1 - pickRandom()) * 1000) / (kind.perS * load)
    ) {
      const drawn = Math.floor(pickRandom() * 8);
      const account = ACCOUNTS[Math.max(0, drawn - 3)] ?? 'half';
      setTimeout(() => {
        beginCall(kind, account, performance.now(), false);
      }, atMs);
    }
  clock.tick(DURATION_MS + 8000);
  clock.uninstall();
  return { stats, preemptions };
}
