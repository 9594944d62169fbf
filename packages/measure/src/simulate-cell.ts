import { createAdmissionQueue } from '@laburnumshift/admit-request';
import { computeInFlightLimit, placeRequest } from '@laburnumshift/place-request';
import type { PlacementInput } from '@laburnumshift/place-request';
import { buildSimInput } from './build-sim-input.js';
import { createEventQueue } from './create-event-queue.js';
import { createLinkView } from './create-link-view.js';
import { createLoadView } from './create-load-view.js';
import type { RequestResult } from './request-result.js';
import { SimEngine } from './sim-engine.js';
import type { SimRun } from './sim-run.js';
import { SimStore } from './sim-store.js';
import type { SimulationOptions } from './simulation-options.js';
import type { SimulationResult } from './simulation-result.js';
import { startSimRun } from './start-sim-run.js';
import type { TraceRequest } from './trace-request.js';

const REPORT_EVERY_MS = 250;
/** A dead store is noticed by the next reading of its state. */
const NOTICE_MS = 500;
const RESTART_MS = 500;
/**
 * The home of a cell plans changes about each second. Planning takes most of the time of a simulation, so it happens more rarely
 * here while the tiers have room.
 */
const PLAN_CHECK_MS = 1000;
const PLAN_EVERY_MS = 10_000;
const PLAN_FILLING = 0.94;
/** Time after the last arrival for running requests to finish. */
const DRAIN_MS = 300_000;
const MINUTE_MS = 60_000;

/** Simulates one cell: the real admission queue and decision over queueing models of engines and a store. */
export function simulateCell(options: SimulationOptions): SimulationResult {
  const { deployment, trace, policy, fault } = options;
  const events = createEventQueue();
  const link = createLinkView();
  const engines = Array.from({ length: deployment.engines }, (_, index) => {
    const { prefillTokensPerSecond, enginePieces } = deployment;
    const engine = new SimEngine(`e${String(index)}`, events, prefillTokensPerSecond, enginePieces);
    return { engine, view: createLoadView(engine) };
  });
  const store = new SimStore(events, deployment, (name, chain) =>
    engines.some(({ engine }) => engine.name === name && engine.cache.has(chain)),
  );
  const planner = options.createPlanner(deployment);
  const queue = createAdmissionQueue({
    maxEntriesPerAccount: 512,
    pollTimeoutMs: Infinity,
    tokensPerSecond: deployment.engines * deployment.prefillTokensPerSecond,
  });
  const waiting = new Map<string, { readonly request: TraceRequest; readonly started: boolean }>();
  const runs = new Map<string, SimRun>();
  const results: RequestResult[] = [];
  const seen = new Set<string>();
  let turn = 0;
  let plannedAtMs = 0;

  const buildInput = (request: TraceRequest, anyRoom: boolean): PlacementInput =>
    buildSimInput(deployment, request, { engines, store, link, turn, anyRoom, nowMs: events.getNowMs() });
  const refuse = (request: TraceRequest): void => {
    const ttftMs = request.kind.deadlineMs;
    results.push({ request, ttftMs, refused: true, computedTokens: 0, recomputedTokens: 0, missedTokens: 0 });
  };

  const addRequest = (request: TraceRequest, started: boolean): void => {
    const nowMs = events.getNowMs();
    const decision = placeRequest(buildInput(request, true));
    const deadlineAtMs = request.atMs + request.kind.deadlineMs + (started ? DRAIN_MS : 0);
    const entry = {
      requestId: request.id,
      account: request.account,
      accountWeight: 1,
      priority: request.kind.priority,
      tokens: (decision?.computedTokens ?? request.tokens) + request.kind.outputTokens,
      deadlineAtMs,
      timeToFirstTokenMs: decision === undefined ? 0 : decision.estimateMs - decision.queueMs,
    };
    const late = decision !== undefined && decision.estimateMs > deadlineAtMs - nowMs;
    if (late || queue.addEntry(entry, nowMs) !== undefined) {
      if (!started) refuse(request);
      return;
    }
    waiting.set(request.id, { request, started });
    grantWaiting();
  };

  const grantWaiting = (): void => {
    const nowMs = events.getNowMs();
    for (;;) {
      const usable = engines.filter(({ engine }) => engine.availableAtMs <= nowMs);
      const slots = {
        free: usable.reduce((sum, { engine }) => sum + Math.max(0, deployment.slots - engine.running), 0),
        reserved: usable.length * deployment.urgentSlots,
      };
      const entry = queue.takeNext(nowMs, slots, ({ requestId }) => {
        const priority = waiting.get(requestId)?.request.kind.priority ?? 'bulk';
        const limit = computeInFlightLimit(deployment.slots, deployment.urgentSlots, priority);
        return usable.some(({ engine }) => engine.running < limit);
      });
      const item = waiting.get(entry?.requestId ?? '');
      if (entry === undefined || item === undefined) return;
      waiting.delete(entry.requestId);
      const decision = policy(buildInput(item.request, false));
      turn += 1;
      const chosen = engines.find(({ engine }) => engine.name === decision?.engine);
      if (
        decision === undefined ||
        chosen === undefined ||
        nowMs + decision.estimateMs > entry.deadlineAtMs
      ) {
        if (!item.started) refuse(item.request);
        continue;
      }
      const { engine, view } = chosen;
      view.addGrant(decision.computedTokens, item.request.kind.priority, nowMs);
      const run: SimRun = { request: item.request, engine, decision, started: item.started };
      runs.set(item.request.id, run);
      startSimRun(
        run,
        { events, store, link, seen, planner, deployment },
        {
          recordFirst: (result) => results.push(result),
          finish: () => {
            runs.delete(run.request.id);
            grantWaiting();
          },
        },
      );
    }
  };

  const injectFault = (): void => {
    if (fault === 'link-tenth') store.link.bytesPerSecond /= 10;
    if (fault === 'store-dead') {
      store.fail();
      events.schedule(NOTICE_MS, () => {
        store.clearListing();
      });
    }
    if (fault !== 'half-restarted') return;
    const restarted = new Set(engines.slice(0, deployment.engines / 2).map(({ engine }) => engine));
    for (const engine of restarted) engine.restart(RESTART_MS);
    for (const run of [...runs.values()].filter(({ engine }) => restarted.has(engine))) {
      runs.delete(run.request.id);
      addRequest(run.request, run.started);
    }
  };
  const readReports = (): void => {
    const nowMs = events.getNowMs();
    for (const { view } of engines) view.takeReport(nowMs);
    for (const { requestId } of queue.refuseUnreachable(nowMs)) {
      const item = waiting.get(requestId);
      waiting.delete(requestId);
      if (item?.started === false) refuse(item.request);
    }
    grantWaiting();
    if (nowMs < options.durationMs + DRAIN_MS) events.schedule(REPORT_EVERY_MS, readReports);
  };

  const planChanges = (): void => {
    const nowMs = events.getNowMs();
    if (nowMs - plannedAtMs >= PLAN_EVERY_MS || store.getFilling() > PLAN_FILLING) {
      plannedAtMs = nowMs;
      const changes = planner.planChanges([store.getView()], store.directory, nowMs);
      for (const change of changes) store.applyChange(change);
    }
    if (nowMs < options.durationMs) events.schedule(PLAN_CHECK_MS, planChanges);
  };

  for (const request of trace) {
    events.schedule(request.atMs, () => {
      addRequest(request, false);
    });
  }
  events.schedule(options.faultAtMs, injectFault);
  readReports();
  planChanges();
  events.runUntil(options.durationMs + DRAIN_MS);
  const peakLinkUse = Math.max(0, ...store.link.busyByMinute.values()) / MINUTE_MS;
  return { results, movedBytes: store.link.movedBytes, peakLinkUse };
}
