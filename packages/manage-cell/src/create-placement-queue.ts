import { createAdmissionQueue } from '@laburnumshift/admit-request';
import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import type { EnginePlacementReply } from '@laburnumshift/types';
import { buildAdmissionEntry } from './build-admission-entry.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import { createEngineSnapshot } from './create-engine-snapshot.js';
import { createPendingPlacement } from './create-pending-placement.js';
import type { PlacementQueue } from './placement-queue.js';
import { releaseRun } from './release-run.js';
import { grantRequest } from './grant-request.js';
import type { PendingPlacement } from './pending-placement.js';

/** Creates the placement queue of a home. */
export function createPlacementQueue(state: CellState): PlacementQueue {
  const { metrics } = state.options;
  const prefillRate = [...state.engines.values()].reduce((sum, engine) => sum + engine.prefillRate, 0);
  const queue = createAdmissionQueue({ tokensPerSecond: Math.max(prefillRate, 1) });
  const pending = new Map<string, PendingPlacement>();
  let granting = false;
  let closed = false;

  const setReply = (placement: PendingPlacement, reply: EnginePlacementReply): void => {
    placement.reply = reply;
    placement.replyAtMs = readMonotonicMs();
    placement.resolve(reply);
    metrics?.addCount(`cell_place_${reply.kind}`, 1);
  };
  const grantWaiting = (): void => {
    if (granting || closed || queue.getCounts().waiting === 0) return;
    granting = true;
    const nowMs = readMonotonicMs();
    for (;;) {
      const snapshot = createEngineSnapshot(state, nowMs);
      const entry = queue.takeNext(nowMs, snapshot.slots, ({ requestId }) => {
        const placement = pending.get(requestId);
        return placement !== undefined && placement.waiters > 0 && snapshot.canRunNow(placement.request);
      });
      const placement = pending.get(entry?.requestId ?? '');
      if (placement === undefined) break;
      grantRequest(state, placement.request, placement.deadlineAtMs - nowMs, nowMs, (reply) => {
        setReply(placement, reply);
      });
    }
    granting = false;
  };
  const openPlacement: (
    ...args: Parameters<PlacementQueue['place']>
  ) => PendingPlacement | EnginePlacementReply = (request) => {
    const nowMs = readMonotonicMs();
    // An entry node repeats a request only when its earlier run has ended, for example after a broken stream.
    releaseRun(state, request.requestId);
    const built = buildAdmissionEntry(state, request, nowMs);
    if ('refusal' in built) return built.refusal;
    const refusal = queue.addEntry(built.entry, nowMs);
    if (refusal !== undefined) {
      return { kind: 'refused', code: refusal.code, retryAfterMs: refusal.retryAfterMs };
    }
    const placement = createPendingPlacement(request, nowMs);
    pending.set(request.requestId, placement);
    return placement;
  };
  const place: PlacementQueue['place'] = async (request) => {
    if (closed) return { kind: 'queued', position: 0 };
    const { requestId, waitMs } = request;
    const placement = pending.get(requestId) ?? openPlacement(request);
    if ('kind' in placement) {
      metrics?.addCount(`cell_place_${placement.kind}`, 1);
      return placement;
    }
    placement.request = request;
    placement.waiters += 1;
    queue.recordPoll(requestId, readMonotonicMs());
    grantWaiting();
    const reply = placement.reply ?? (await waitWithTimeout(placement.answer, waitMs));
    placement.waiters -= 1;
    if (reply === undefined) {
      queue.recordPoll(requestId, readMonotonicMs());
      return { kind: 'queued', position: queue.getPosition(requestId) ?? 0 };
    }
    if (pending.get(requestId) === placement) pending.delete(requestId);
    return reply;
  };

  const refuseWithoutEngine = (nowMs: number): void => {
    const snapshot = createEngineSnapshot(state, nowMs);
    if (snapshot.usable > 0) state.lastUsableAtMs = nowMs;
    for (const [requestId, placement] of pending) {
      if (placement.reply !== undefined || queue.getPosition(requestId) === undefined) continue;
      if (snapshot.canEverRun(placement.request)) placement.noEngineSinceMs = undefined;
      else placement.noEngineSinceMs ??= nowMs;
      if (nowMs - (placement.noEngineSinceMs ?? nowMs) < CELL_TIMING.noEngineTimeoutMs) continue;
      queue.cancelEntry(requestId);
      setReply(placement, {
        kind: 'refused',
        code: 'no_engine',
        retryAfterMs: CELL_TIMING.noEngineRetryDelayMs,
      });
    }
  };
  const expireWaiting = (): void => {
    const nowMs = readMonotonicMs();
    for (const entry of queue.removeExpired(nowMs)) pending.delete(entry.requestId);
    for (const { requestId, code, retryAfterMs } of queue.refuseUnreachable(nowMs)) {
      const placement = pending.get(requestId);
      if (placement !== undefined) setReply(placement, { kind: 'refused', code, retryAfterMs });
    }
    refuseWithoutEngine(nowMs);
    for (const [requestId, placement] of pending) {
      const isUnfetched = placement.reply !== undefined && placement.waiters === 0;
      if (!isUnfetched || nowMs - placement.replyAtMs < CELL_TIMING.unfetchedGrantTimeoutMs) continue;
      pending.delete(requestId);
      if (placement.reply?.kind === 'granted') releaseRun(state, requestId);
    }
    for (const record of state.engines.values()) {
      for (const run of record.running.values()) {
        if (run.expiresAtMs < nowMs) releaseRun(state, run.requestId);
      }
    }
    grantWaiting();
  };

  return {
    place,
    grantWaiting,
    expireWaiting,
    getCounts: queue.getCounts,
    close: () => {
      closed = true;
      for (const placement of pending.values()) placement.resolve({ kind: 'queued', position: 0 });
      pending.clear();
    },
  };
}
