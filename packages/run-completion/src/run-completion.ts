import { randomUUID } from 'node:crypto';
import { createRefusal } from '@laburnumshift/errors';
import { estimateTokens, hashPieces } from '@laburnumshift/hash-pieces';
import type { PoolConfig, Refusal, RunEnd, ServiceConfig } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { resolveRoute } from '@laburnumshift/resolve-route';
import type { CompletionDependencies } from './completion-dependencies.js';
import type { AcceptedCompletion } from './accepted-completion.js';
import { computeRequestFingerprint } from './compute-request-fingerprint.js';
import type { EmitToken } from './emit-token.js';
import { runAttempts } from './run-attempts.js';
import { runOnOlderSystem } from './run-on-older-system.js';
import type { RunState } from './run-state.js';
import { traceRun } from './trace-run.js';

const NOT_READY_RETRY_AFTER_MS = 1_000;

/**
 * Runs one completion, from the check of the account to the last token.
 *
 * @param emit receives each token once and in order; no token follows one with a finish reason
 * @param signal aborts the run when no caller reads its output any more
 * @returns how the run ended; a refusal is returned as soon as nothing is left to try, without waiting for the deadline
 */
export async function runCompletion(
  request: AcceptedCompletion,
  deps: CompletionDependencies,
  emit: EmitToken,
  signal: AbortSignal,
): Promise<RunEnd> {
  const refuse = (refusal: Refusal): RunEnd => ({ kind: 'refused', refusal });
  const config = deps.getConfig();
  if (config === undefined) {
    return refuse(
      createRefusal('not_ready', 'no configuration yet', OUTCOMES.notRun, NOT_READY_RETRY_AFTER_MS),
    );
  }
  const resolved = resolveRoute(config, request.account.name, request.service, 'model');
  if (!resolved.ok) return refuse(resolved.error);
  if (request.startOffset >= request.maxTokens) return { kind: 'finished', reason: 'length' };
  const reserved = deps.reserveQuota?.(
    request.account.name,
    estimateTokens(request.prompt) + request.maxTokens,
  );
  if (reserved?.ok === false) {
    const message = 'the account is over its limits';
    return refuse(createRefusal('rate_limited', message, OUTCOMES.notRun, reserved.error));
  }
  const { service, pool } = resolved.value;
  const state = createState(request, deps, emit, signal, service, pool);
  deps.retryBudget.recordAttempt(
    { service: service.name, account: request.account.name, pool: pool.name },
    service.retry,
  );
  try {
    const { cutover } = service;
    const older = cutover === undefined ? undefined : deps.getOlderSystem?.(cutover.olderUrl);
    if (cutover !== undefined && older !== undefined) {
      const system = deps.chooseSystem?.(
        request.account.name,
        request.conversation ?? request.requestId,
        cutover,
      );
      traceRun(state, 'cutover', { system });
      if (system === 'older') return await runOnOlderSystem(state, older);
    }
    return await runAttempts(state);
  } finally {
    deps.quarantine.releaseRequest(state.fingerprint, state.runId);
    if (reserved?.ok === true) reserved.value();
  }
}

function createState(
  request: AcceptedCompletion,
  deps: CompletionDependencies,
  emit: EmitToken,
  signal: AbortSignal,
  service: ServiceConfig,
  pool: PoolConfig,
): RunState {
  return {
    request,
    deps,
    emit,
    signal,
    service,
    pool,
    pieces: hashPieces(request.account.name, request.prompt, pool.pieceTokens),
    fingerprint: computeRequestFingerprint(request.account.name, service.name, request.prompt),
    // Callers choose request ids, so two accounts may use the same one.
    runId: `${request.requestId}~${randomUUID()}`,
    texts: [],
    exclude: new Set(),
    failures: new Map(),
    version: undefined,
    cell: 0,
    attempts: 0,
    redirects: 0,
    sent: false,
    isolated: false,
    deadlineMs: request.acceptedAtMs + service.deadlineMs,
  };
}
