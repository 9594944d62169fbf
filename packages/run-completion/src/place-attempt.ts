import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import type {
  EnginePlacement,
  EnginePlacementReply,
  EnginePlacementRequest,
  Refusal,
  Result,
} from '@laburnumshift/types';
import { createRunRefusal } from './create-run-refusal.js';
import type { RunState } from './run-state.js';
import { traceRun } from './trace-run.js';

/**
 * How long the home node may hold a placement request before its first reply, and before each later reply while the
 * request is queued (section 2 of the design page).
 */
const FIRST_REPLY_WAIT_MS = 20;
const QUEUED_REPLY_WAIT_MS = 200;
/**
 * Time beyond `waitMs` after which a placement counts as unanswered. `deps.place` normally chooses an engine without the
 * home 30 ms after `waitMs`.
 */
const PLACEMENT_SLACK_MS = 500;
const NO_REPLY: Extract<EnginePlacementReply, { kind: 'refused' }> = {
  kind: 'refused',
  code: 'no_engine',
  retryAfterMs: 1_000,
};

/**
 * Requests an engine for an attempt: first from the best cell for the prompt, then from the second when the first
 * refuses.
 *
 * @param weightVersion the weight version that the engine must run; `undefined` accepts any
 * @returns the grant, or the refusal when both cells refuse, the deadline cannot be met or the run was aborted
 */
export async function placeAttempt(
  state: RunState,
  attemptId: string,
  weightVersion: string | undefined,
): Promise<Result<EnginePlacement, Refusal>> {
  let refusal = NO_REPLY;
  for (const cell of state.deps.rankCells(state.pool, state.pieces).slice(0, 2)) {
    state.cell = cell;
    const reply = await askCell(state, cell, attemptId, weightVersion);
    if (reply === undefined) return { ok: false, error: createDeadlineRefusal(state, 0) };
    if (reply.kind === 'granted') return { ok: true, value: reply.grant };
    if (reply.code === 'deadline_unreachable') {
      return { ok: false, error: createDeadlineRefusal(state, reply.retryAfterMs) };
    }
    refusal = reply;
  }
  return { ok: false, error: createPlacementRefusal(state, refusal.code, refusal.retryAfterMs) };
}

/** Asks one cell until it grants or refuses. Returns `undefined` when no time is left or the run was aborted. */
async function askCell(
  state: RunState,
  cell: number,
  attemptId: string,
  weightVersion: string | undefined,
): Promise<Exclude<EnginePlacementReply, { kind: 'queued' }> | undefined> {
  for (let waitMs = FIRST_REPLY_WAIT_MS; ; waitMs = QUEUED_REPLY_WAIT_MS) {
    const remainingMs = state.deadlineMs - readMonotonicMs();
    if (remainingMs <= 0 || state.signal.aborted) return undefined;
    const placeRequest = buildPlaceRequest(state, cell, attemptId, weightVersion, remainingMs, waitMs);
    const answer = state.deps.place(placeRequest).catch((): EnginePlacementReply => NO_REPLY);
    const reply = (await waitWithTimeout(answer, placeRequest.waitMs + PLACEMENT_SLACK_MS)) ?? NO_REPLY;
    traceRun(state, 'place', describeReply(reply, cell));
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
): EnginePlacementRequest {
  const { request, service } = state;
  return {
    requestId: attemptId,
    account: request.account.name,
    accountWeight: request.account.weight,
    service: service.name,
    pool: state.pool.name,
    cell,
    priority: service.priority,
    fingerprint: state.fingerprint,
    suspect: state.isolated,
    model: service.model ?? state.pool.model ?? '',
    adapter: service.adapter,
    pieces: state.pieces,
    maxTokens: request.maxTokens - request.startOffset - state.texts.length,
    remainingMs,
    waitMs: Math.min(waitMs, Math.ceil(remainingMs)),
    weights: service.weights,
    exclude: [...state.exclude],
    weightVersion,
  };
}

/** Describes a reply for the trace; imports are given as a number. */
function describeReply(reply: EnginePlacementReply, cell: number): Readonly<Record<string, unknown>> {
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

function createDeadlineRefusal(state: RunState, retryAfterMs: number): Refusal {
  const code = 'deadline_unreachable';
  return createRunRefusal(state, code, 'the deadline for the first token cannot be met', retryAfterMs);
}

function createPlacementRefusal(
  state: RunState,
  code: 'overloaded' | 'no_engine' | 'deadline_unreachable',
  retryAfterMs: number,
): Refusal {
  return code === 'overloaded'
    ? createRunRefusal(state, 'overloaded', 'the pool is overloaded', retryAfterMs)
    : createRunRefusal(state, 'no_backend_server', 'no engine can take the request', retryAfterMs);
}
