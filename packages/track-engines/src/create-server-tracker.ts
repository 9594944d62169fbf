import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendLoad } from '@laburnumshift/forward-types';
import type { CallObservations } from './call-observations.js';
import type { ServerTracker } from './server-tracker.js';
import type { ServerState } from './server-state.js';
import { computeRemainingMs } from './compute-remaining-ms.js';
import { createExpectedPieces } from './create-expected-pieces.js';
import { createConditionTable } from './create-condition-table.js';
import { createDelayTable } from './create-delay-table.js';
import { createPieceTable } from './create-piece-table.js';
import type { OutstandingWork } from './outstanding-work.js';
import type { PieceTable } from './piece-table.js';

/** Weight of the newest call in the moving average of failures: about the last eight calls count. */
const FAILURE_AVERAGE_WEIGHT = 0.12;
/** Half-life of the failure share without calls, milliseconds, so that a failing server is tried again. */
const FAILURE_HALF_LIFE_MS = 2000;

/** Assumed prefill rate before the first call, tokens per millisecond: that of a mid-size engine. */
const INITIAL_PREFILL_RATE = 40;
/** Bounds to which the prefill rate of one call is clamped, tokens per millisecond. */
const MIN_PREFILL_RATE = 2;
const MAX_PREFILL_RATE = 400;
/** Prefills of fewer tokens are ignored, as they consist mostly of fixed costs. */
const MIN_PREFILL_TOKENS = 1000;
/** Weight of the newest call in the moving averages of a service's prefill rate and run time: about the last 30 calls count. */
const SERVICE_AVERAGE_WEIGHT = 0.03;
/** Assumed run time before the first call ended, milliseconds: a short answer at the decode rate of a mid-size engine. */
const INITIAL_RUN_MS = 800;
/** Time constant of the decay of a source's fetch rate, milliseconds; long because a host of a large fleet makes few fetches a second. */
const FETCH_RATE_DECAY_MS = 5000;

/**
 * Most observations of each kind kept until they are taken. Beyond that the oldest are dropped, or for results those of further servers;
 * this is harmless as they only feed estimates.
 */
const MAX_OBSERVATIONS = 64;

interface TimedCall {
  readonly expectedMs: number;
  readonly startedMs: number;
}

interface Entry {
  inFlight: number;
  pendingTokens: number;
  heldTokens: number;
  load: BackendLoad | undefined;
  loadAtMs: number;
  inFlightAtLoad: number;
  /** Calls of this host whose expected time is known. */
  readonly timedCalls: Set<TimedCall>;
  unreadableLoads: number;
  /** Time of the last received byte, or of the start of the first call after an idle period. */
  lastReceivedMs: number;
  failureShare: number;
  failureAtMs: number;
  avoidedUntilMs: number;
  /** Number of answers without end since the last call that was served. */
  endlessAnswers: number;
  readonly pieces: PieceTable;
}

/**
 * Creates the tracker. Its figures come from this host's own calls, except for the loads that servers report and the observations of
 * other hosts.
 */
export function createServerTracker(): ServerTracker {
  const entries = new Map<string, Entry>();
  const prefillRates = new Map<string, number>();
  const runTimes = new Map<string, number>();
  const fetchRates = new Map<string, { readonly perMs: number; readonly atMs: number }>();
  const handlers: (() => void)[] = [];
  const results = new Map<string, { served: number; failed: number }>();
  let reads: CallObservations['reads'] = [];
  let runs: CallObservations['runs'] = [];
  let fetches: CallObservations['fetches'] = [];
  const delays = createDelayTable();
  const expected = createExpectedPieces();
  const conditions = createConditionTable();
  const notifyHandlers = (): void => {
    for (const handler of handlers) handler();
  };
  const getFetchRate = (source: string): number => {
    const rate = fetchRates.get(source);
    return rate === undefined
      ? 0
      : rate.perMs * Math.exp((rate.atMs - readMonotonicMs()) / FETCH_RATE_DECAY_MS);
  };

  const findEntry = (server: string): Entry =>
    entries.get(server) ?? {
      inFlight: 0,
      pendingTokens: 0,
      heldTokens: 0,
      load: undefined,
      loadAtMs: 0,
      inFlightAtLoad: 0,
      timedCalls: new Set(),
      unreadableLoads: 0,
      lastReceivedMs: 0,
      failureShare: 0,
      failureAtMs: 0,
      avoidedUntilMs: 0,
      endlessAnswers: 0,
      pieces: createPieceTable(),
    };
  const getEntry = (server: string): Entry => {
    const entry = findEntry(server);
    entries.set(server, entry);
    return entry;
  };
  const computeFailureShare = (entry: Entry): number =>
    entry.failureShare * 0.5 ** ((readMonotonicMs() - entry.failureAtMs) / FAILURE_HALF_LIFE_MS);
  const computeWork = (server: string, entry: Entry, runningShare: number): OutstandingWork => {
    const now = readMonotonicMs();
    const slowness = conditions.getSlowness(server);
    let ms = 0;
    for (const { expectedMs, startedMs } of entry.timedCalls)
      ms += computeRemainingMs(expectedMs, now - startedMs, slowness, runningShare);
    return { calls: entry.timedCalls.size, ms };
  };
  const updatePrefillRate = (service: string, tokens: number, ms: number): void => {
    const measured = Math.min(MAX_PREFILL_RATE, Math.max(MIN_PREFILL_RATE, tokens / ms));
    const rate = prefillRates.get(service) ?? INITIAL_PREFILL_RATE;
    prefillRates.set(service, rate + (measured - rate) * SERVICE_AVERAGE_WEIGHT);
  };
  const updateRunTime = (service: string, ms: number): void => {
    const known = runTimes.get(service) ?? INITIAL_RUN_MS;
    runTimes.set(service, known + (ms - known) * SERVICE_AVERAGE_WEIGHT);
  };
  const countResult = (server: string, isFailure: boolean): void => {
    const counts = results.get(server) ?? { served: 0, failed: 0 };
    if (isFailure) counts.failed += 1;
    else counts.served += 1;
    if (results.size < MAX_OBSERVATIONS || results.has(server)) results.set(server, counts);
  };
  const recordResult = (entry: Entry, isFailure: boolean): void => {
    const share = computeFailureShare(entry);
    entry.failureShare = share + FAILURE_AVERAGE_WEIGHT * (Number(isFailure) - share);
    entry.failureAtMs = readMonotonicMs();
  };

  const buildState = (server: string, entry: Entry): ServerState => {
    const now = readMonotonicMs();
    return {
      inFlight: entry.inFlight,
      pendingTokens: entry.pendingTokens,
      heldTokens: entry.heldTokens,
      load: entry.load,
      loadAgeMs: entry.load === undefined ? Infinity : now - entry.loadAtMs,
      inFlightAtLoad: entry.inFlightAtLoad,
      slowness: conditions.getSlowness(server),
      isSlownessKnown: conditions.isSlownessKnown(server),
      queueLimit: conditions.getQueueLimit(server),
      silentMs: entry.inFlight === 0 ? 0 : now - entry.lastReceivedMs,
      failureShare: computeFailureShare(entry),
      isAvoided: now < entry.avoidedUntilMs,
    };
  };

  const tracker: ServerTracker = {
    beginCall: (server, work) => {
      const entry = getEntry(server);
      if (entry.inFlight === 0) entry.lastReceivedMs = readMonotonicMs();
      entry.inFlight += 1;
      entry.pendingTokens += work.uncachedTokens;
      entry.heldTokens += work.totalTokens;
      const { expectedMs } = work;
      const timedCall = expectedMs === undefined ? undefined : { expectedMs, startedMs: readMonotonicMs() };
      if (timedCall !== undefined) entry.timedCalls.add(timedCall);
      let isPending = true;
      let isOpen = true;
      const clearPending = (): void => {
        if (isPending) entry.pendingTokens -= work.uncachedTokens;
        isPending = false;
        notifyHandlers();
      };
      notifyHandlers();
      return {
        observeBytes: () => {
          entry.lastReceivedMs = readMonotonicMs();
        },
        observeFirstEvent: clearPending,
        finish: (result) => {
          if (!isOpen) return;
          isOpen = false;
          if (timedCall !== undefined) entry.timedCalls.delete(timedCall);
          clearPending();
          entry.inFlight -= 1;
          entry.heldTokens -= work.totalTokens;
          if (result !== 'served' && result !== 'failed') return;
          if (result === 'served') entry.endlessAnswers = 0;
          recordResult(entry, result === 'failed');
          countResult(server, result === 'failed');
        },
      };
    },
    getState: (server) => buildState(server, getEntry(server)),
    getOutstandingWork: (server, runningShare) => computeWork(server, getEntry(server), runningShare),
    getPrefillRate: (service) => prefillRates.get(service) ?? INITIAL_PREFILL_RATE,
    observePrefill: (service, tokens, ms) => {
      if (tokens < MIN_PREFILL_TOKENS || ms <= 0) return;
      updatePrefillRate(service, tokens, ms);
      reads = [...reads.slice(1 - MAX_OBSERVATIONS), [service, tokens, ms]];
    },
    getRunMs: (service) => runTimes.get(service) ?? INITIAL_RUN_MS,
    observeRun: (service, ms) => {
      updateRunTime(service, ms);
      runs = [...runs.slice(1 - MAX_OBSERVATIONS), [service, ms]];
    },
    getFetchRate,
    observeFetch: (source, tokens) => {
      const perMs = getFetchRate(source) + tokens / FETCH_RATE_DECAY_MS;
      fetchRates.set(source, { perMs, atMs: readMonotonicMs() });
    },
    observeFetchDelay: ({ source, tokens }, excessMs) => {
      delays.addDelay(source, tokens, excessMs);
      fetches = [...fetches.slice(1 - MAX_OBSERVATIONS), [source, tokens, Math.max(0, excessMs)]];
    },
    getFetchSlowdown: delays.getSlowdown,
    observeLoad: (server, load, isFull = false) => {
      const entry = getEntry(server);
      entry.load = load;
      entry.loadAtMs = readMonotonicMs();
      entry.inFlightAtLoad = entry.inFlight;
      conditions.observeLoad(server, load, isFull);
    },
    observeCondition: conditions.observeCondition,
    listConditions: conditions.listConditions,
    recordUnreadableLoad: (server) => {
      const entry = getEntry(server);
      entry.unreadableLoads += 1;
      return entry.unreadableLoads;
    },
    recordEndlessAnswer: (server) => {
      const entry = getEntry(server);
      entry.endlessAnswers += 1;
      return entry.endlessAnswers;
    },
    avoidServer: (server, ms) => {
      const entry = getEntry(server);
      entry.avoidedUntilMs = Math.max(entry.avoidedUntilMs, readMonotonicMs() + ms);
    },
    getPieceTable: (server) => getEntry(server).pieces,
    expectPieces: expected.addPieces,
    countCachedTokens: (server, scope, piece) =>
      Math.max(getEntry(server).pieces.getTokens(scope, piece), expected.getTokens(server, scope, piece)),
    listLoads: () =>
      [...entries]
        .filter(([, entry]) => entry.inFlight > 0)
        .map(([server, entry]) => [server, entry.inFlight, entry.pendingTokens, entry.heldTokens] as const),
    listWork: () =>
      [...entries]
        .filter(([, entry]) => entry.timedCalls.size > 0)
        .map(([server, entry]) => {
          const { running = 0, waiting = 0 } = entry.load ?? {};
          const runningShare = running > 0 ? running / (running + waiting) : 1;
          const { calls, ms } = computeWork(server, entry, runningShare);
          return [server, calls, Math.round(ms)] as const;
        }),
    watchLoads: (handler) => {
      handlers.push(handler);
    },
    drainObservations: () => {
      const taken = {
        results: [...results].map(([server, { served, failed }]) => [server, served, failed] as const),
        reads,
        fetches,
        runs,
      };
      results.clear();
      reads = [];
      fetches = [];
      runs = [];
      return taken;
    },
    addObservations: (observations) => {
      for (const [server, served, failed] of observations.results) {
        const entry = entries.get(server);
        if (entry === undefined) continue;
        for (let count = 0; count < served; count += 1) recordResult(entry, false);
        for (let count = 0; count < failed; count += 1) recordResult(entry, true);
      }
      for (const [service, tokens, ms] of observations.reads) updatePrefillRate(service, tokens, ms);
      for (const fetch of observations.fetches) delays.addDelay(...fetch);
      for (const [service, ms] of observations.runs) updateRunTime(service, ms);
    },
    removeServer: (server) => {
      entries.delete(server);
      conditions.removeServer(server);
    },
    getReader: () => ({
      ...tracker,
      getState: (server) => buildState(server, findEntry(server)),
      getOutstandingWork: (server, runningShare) => computeWork(server, findEntry(server), runningShare),
      getPieceTable: (server) => findEntry(server).pieces,
      countCachedTokens: (server, scope, piece) =>
        Math.max(findEntry(server).pieces.getTokens(scope, piece), expected.getTokens(server, scope, piece)),
      observeFetch: () => undefined,
      expectPieces: () => undefined,
    }),
  };
  return tracker;
}
