import { createPlacementQueue } from '@laburnumshift/ask-home';
import { chooseServer, type ChoiceDeps, type ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker, createServerNotices } from '@laburnumshift/track-engines';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createPlacementRequest, createServer } from './fixtures.js';

const ENGINES = 10;
const SLOW_ENGINES = 3;
const SLOTS = 16;
const CAPACITY_TOKENS = 113_098;
const PREFILL_TOKENS_PER_MS = 112;
const DECODE_MS_PER_TOKEN = 25;
/** Time between two events of a stream of which the host takes note, milliseconds. */
const EVENT_PERIOD_MS = 200;
const DURATION_MS = 10_000;
/** Kinds of calls: calls per second, tokens in memory, uncached ones among them, estimated output, target in milliseconds. */
const KINDS = [
  { name: 'urgent', priority: 0, perS: 25, tokens: 12_000, uncached: 2878, output: 38, targetMs: 508 },
  { name: 'answer', priority: 1, perS: 32, tokens: 830, uncached: 830, output: 60, targetMs: 603 },
  { name: 'tag', priority: 2, perS: 60, tokens: 2370, uncached: 2370, output: 2, targetMs: 1000 },
] as const;

interface KindStats {
  offered: number;
  onTime: number;
  readonly firstMs: number[];
}
interface EngineSimulation {
  readonly seed: number;
  readonly areReportsRead: boolean;
  /** Slowness of three of ten engines from 2 to 6 s. */
  readonly slowness: number;
  /** Multiple of the usual load. */
  readonly load: number;
}

/**
 * Simulates the calls of one host to model engines: a call waits for a slot, prompts are prefilled one after another, and each output
 * token takes a fixed time. Outputs are as long as estimated at the median, and a quarter is three times as long.
 */
export function simulateSlowEngines({
  seed,
  areReportsRead,
  slowness,
  load,
}: EngineSimulation): Readonly<Record<string, KindStats>> {
  const clock = installClock();
  const startMs = performance.now();
  const generator = xoroshiro128plus(seed);
  const pickRandom = (): number => uniformFloat64(generator);
  const readMs = (): number => performance.now() - startMs;
  const getSlowness = (index: number): number =>
    index < SLOW_ENGINES && readMs() >= 2000 && readMs() < 6000 ? slowness : 1;
  const entries = Array.from({ length: ENGINES }, (_, index) =>
    createServer(`e${String(index)}`, { slots: SLOTS }),
  );
  const engines = entries.map(() => ({ running: 0, readyMs: 0, waiting: [] as (() => void)[] }));
  const serverTracker = createServerTracker();
  const engine = { slots: SLOTS, capacityTokens: CAPACITY_TOKENS, linkMbps: 1, bytesPerToken: 1 };
  const config = { stores: [], services: new Map([['m', { engine }]]) };
  const noLoad = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };
  const deps = {
    serverTracker,
    notices: createServerNotices(),
    fleet: { listBackends: () => entries, getWeights: () => undefined, getConfig: () => config },
    transferPlanner: {
      planFetches: () => () => ({ localTokens: 0, fetchTokens: 0, slowdown: 1, sources: [] }),
      planTransfers: () => undefined,
    },
    sharing: { getLoadOfOthers: () => noLoad, countCoveredHosts: () => 0, countReportingHosts: () => 1 },
    bounds: { versionMs: 10_000 },
    limits: { hasRoom: () => true, takeRoom: () => undefined },
    pickRandom,
    getHomeDomain: () => 'a',
  } as unknown as ChoiceDeps;
  const queue = createPlacementQueue({
    chooseServer: (request) => chooseServer(deps, request),
    recordFirstAttempt: () => undefined,
    takeResend: () => true,
  });
  const stats: Record<string, KindStats> = Object.fromEntries(
    KINDS.map(({ name }) => [name, { offered: 0, onTime: 0, firstMs: [] }]),
  );
  const beginCall = (kind: (typeof KINDS)[number], callId: string): void => {
    const result = stats[kind.name];
    if (result === undefined) return;
    result.offered += 1;
    const bornMs = readMs();
    const output = kind.output * (pickRandom() < 0.25 ? 3 : 1);
    const buildRequest = (): PlacementRequest => ({
      ...createPlacementRequest({ callId, priority: kind.priority, targetMs: kind.targetMs, bodyBytes: 0 }),
      remainingMs: bornMs + 10_000 - readMs(),
      waitedMs: readMs() - bornMs,
      prompt: {
        model: 'model',
        // The cached part of the prompt takes memory in all engines and prefill in none.
        inputTokens: kind.uncached,
        maxOutputTokens: kind.output * 10,
        expectedOutputTokens: kind.output,
        pieces: [{ id: callId, tokens: kind.uncached }],
      },
    });
    const send = (choice: Extract<ServerChoice, { kind: 'server' }>, request: PlacementRequest): void => {
      const index = Number(choice.server.id.slice(1));
      const server = engines[index];
      if (server === undefined || request.prompt === undefined) return;
      const totalTokens = estimateHeldTokens(request.prompt) + kind.tokens - kind.uncached;
      const tracked = serverTracker.beginCall(choice.server.id, {
        uncachedTokens: kind.uncached,
        totalTokens,
      });
      const sentMs = readMs();
      const begin = (): void => {
        server.running += 1;
        const slownessNow = getSlowness(index);
        server.readyMs =
          Math.max(server.readyMs, readMs()) + (kind.uncached / PREFILL_TOKENS_PER_MS) * slownessNow;
        setTimeout(() => {
          const firstMs = readMs() - sentMs;
          const reportedSlowness = serverTracker.getState(choice.server.id).slowness;
          serverTracker.observePrefill('m', choice.queueTokens + kind.uncached, firstMs / reportedSlowness);
          tracked.observeBytes();
          tracked.observeFirstEvent();
          const streaming = setInterval(tracked.observeBytes, EVENT_PERIOD_MS);
          result.firstMs.push(readMs() - bornMs);
          result.onTime += Number(readMs() - bornMs <= kind.targetMs);
          if (areReportsRead)
            serverTracker.observeLoad(choice.server.id, {
              running: server.running,
              waiting: server.waiting.length,
              slots: SLOTS,
              slowness: getSlowness(index),
            });
          const decodeMs = output * DECODE_MS_PER_TOKEN * slownessNow;
          setTimeout(() => {
            clearInterval(streaming);
            server.running -= 1;
            server.waiting.shift()?.();
            tracked.finish('served');
            serverTracker.observeRun('m', decodeMs / reportedSlowness);
          }, decodeMs);
        }, server.readyMs - readMs());
      };
      if (server.running < SLOTS) begin();
      else server.waiting.push(begin);
    };
    const place = (): void => {
      const request = buildRequest();
      queue.submitPlacementRequest(request, (choice) => {
        if (choice.kind === 'server') send(choice, request);
        else if (choice.kind === 'wait') setTimeout(place, 0);
      });
    };
    place();
  };
  for (const kind of KINDS)
    for (let atMs = 0; atMs < DURATION_MS; atMs += (-Math.log(1 - pickRandom()) * 1000) / (kind.perS * load))
      setTimeout(beginCall, atMs, kind, `${kind.name}${String(atMs)}`);
  clock.tick(DURATION_MS + 10_000);
  clock.uninstall();
  return stats;
}
