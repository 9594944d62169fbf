import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import type { Grant, PlaceReply, PlaceRequest, Refusal, Result } from '@laburnumshift/types';
import { createFailure } from './create-failure.js';
import type { RunState } from './run-state.js';
import { traceStep } from './trace-step.js';

/** Wait at the home for the first answer; section 2 of the design page sets both. */
const FIRST_WAIT_MS = 20;
const QUEUED_WAIT_MS = 200;
/** The injected placement decides alone 30 ms after `waitMs`; this bounds a placement that does not. */
const PLACE_GRACE_MS = 500;
const UNANSWERED: Extract<PlaceReply, { kind: 'refused' }> = {
  kind: 'refused',
  code: 'no_engine',
  retryAfterMs: 1_000,
};

/** Asks for an engine until there is a grant, a refusal, or no time left. A full first cell spills over to the second. */
export async function placeAttempt(
  state: RunState,
  attemptId: string,
  weightVersion: string | undefined,
): Promise<Result<Grant, Refusal>> {
  let refusal = UNANSWERED;
  for (const cell of state.deps.rankCells(state.pool, state.pieces).slice(0, 2)) {
    state.cell = cell;
    const reply = await askCell(state, cell, attemptId, weightVersion);
    if (reply === undefined) return { ok: false, error: refuseDeadline(state, 0) };
    if (reply.kind === 'granted') return { ok: true, value: reply.grant };
    if (reply.code === 'deadline_unreachable') {
      return { ok: false, error: refuseDeadline(state, reply.retryAfterMs) };
    }
    refusal = reply;
  }
  return { ok: false, error: refusePlacement(state, refusal.code, refusal.retryAfterMs) };
}

/** Asks one cell until it grants or refuses; `undefined` when no time is left or the caller is gone. */
async function askCell(
  state: RunState,
  cell: number,
  attemptId: string,
  weightVersion: string | undefined,
): Promise<Exclude<PlaceReply, { kind: 'queued' }> | undefined> {
  for (let waitMs = FIRST_WAIT_MS; ; waitMs = QUEUED_WAIT_MS) {
    const remainingMs = state.deadlineMs - readMonotonicMs();
    if (remainingMs <= 0 || state.signal.aborted) return undefined;
    const request = buildPlaceRequest(state, cell, attemptId, weightVersion, remainingMs, waitMs);
    const answer = state.deps.place(request).catch((): PlaceReply => UNANSWERED);
    const reply = (await waitWithTimeout(answer, request.waitMs + PLACE_GRACE_MS)) ?? UNANSWERED;
    traceStep(state, 'place', describeReply(reply, cell));
    if (reply.kind !== 'queued') return reply;
  }
}

function buildPlaceRequest(
  state: RunState,
  cell: number,
  attemptId: string,
  weightVersion: string | undefined,
  remainingMs: number,
  waitMs: number,
): PlaceRequest {
  const { job, service } = state;
  return {
    requestId: attemptId,
    account: job.account.name,
    accountWeight: job.account.weight,
    service: service.name,
    pool: state.pool.name,
    cell,
    priority: service.priority,
    fingerprint: state.fingerprint,
    suspect: state.isolated,
    model: service.model ?? state.pool.model ?? '',
    adapter: service.adapter,
    pieces: state.pieces,
    maxTokens: job.maxTokens - job.startOffset - state.texts.length,
    remainingMs,
    waitMs: Math.min(waitMs, Math.ceil(remainingMs)),
    weights: service.weights,
    exclude: [...state.exclude],
    weightVersion,
  };
}

function describeReply(reply: PlaceReply, cell: number): Readonly<Record<string, unknown>> {
  if (reply.kind !== 'granted') return { cell, ...reply };
  const { engine, weightVersion, cachedPieces, headPieces, imports, estimateMs, candidates } = reply.grant;
  return {
    cell,
    kind: 'granted',
    engine,
    weightVersion,
    cachedPieces,
    headPieces,
    imports: imports.length,
    estimateMs,
    candidates,
  };
}

function refuseDeadline(state: RunState, retryAfterMs: number): Refusal {
  const code = 'deadline_unreachable';
  return createFailure(state, code, 'the deadline for the first token cannot be met', retryAfterMs);
}

function refusePlacement(
  state: RunState,
  code: 'overloaded' | 'no_engine' | 'deadline_unreachable',
  retryAfterMs: number,
): Refusal {
  return code === 'overloaded'
    ? createFailure(state, 'overloaded', 'the pool is overloaded', retryAfterMs)
    : createFailure(state, 'no_backend_server', 'no engine can take the request', retryAfterMs);
}
