import { randomUUID } from 'node:crypto';
import { createRefusal } from '@laburnumshift/errors';
import { countTokens, hashPieces } from '@laburnumshift/hash-pieces';
import type { PoolConfig, Refusal, RunEnd, ServiceConfig } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { resolveRoute } from '@laburnumshift/resolve-route';
import type { CompletionDependencies } from './completion-dependencies.js';
import type { CompletionJob } from './completion-job.js';
import { computeFingerprint } from './compute-fingerprint.js';
import type { EmitToken } from './emit-token.js';
import { runAttempts } from './run-attempts.js';
import { runOnOlder } from './run-on-older.js';
import type { RunState } from './run-state.js';
import { traceStep } from './trace-step.js';

const NOT_READY_RETRY_MS = 1_000;

/**
 * Runs one completion from the account check to the last token.
 *
 * @param emit receives each token once, in order; after it got a finish reason no token follows
 * @param signal aborts the run when nobody wants its output any more
 * @returns how the run ended; a refusal comes at once when the run is given up, never near the deadline by waiting
 */
export async function runCompletion(
  job: CompletionJob,
  deps: CompletionDependencies,
  emit: EmitToken,
  signal: AbortSignal,
): Promise<RunEnd> {
  const refuse = (refusal: Refusal): RunEnd => ({ kind: 'refused', refusal });
  const config = deps.getConfig();
  if (config === undefined) {
    return refuse(createRefusal('not_ready', 'no configuration yet', OUTCOMES.notRun, NOT_READY_RETRY_MS));
  }
  const resolved = resolveRoute(config, job.account.name, job.service, 'model');
  if (!resolved.ok) return refuse(resolved.error);
  if (job.startOffset >= job.maxTokens) return { kind: 'finished', reason: 'length' };
  const taken = deps.takeLimits?.(job.account.name, countTokens(job.prompt) + job.maxTokens);
  if (taken?.ok === false) {
    const message = 'the account is over its limits';
    return refuse(createRefusal('rate_limited', message, OUTCOMES.notRun, taken.error));
  }
  const { service, pool } = resolved.value;
  const state = createState(job, deps, emit, signal, service, pool);
  deps.retryBudget.recordAttempt(
    { service: service.name, account: job.account.name, pool: pool.name },
    service.retry,
  );
  try {
    const { cutover } = service;
    const older = cutover === undefined ? undefined : deps.getOlder?.(cutover.olderUrl);
    if (cutover !== undefined && older !== undefined) {
      const system = deps.chooseSystem?.(job.account.name, job.conversation ?? job.requestId, cutover);
      traceStep(state, 'cutover', { system });
      if (system === 'older') return await runOnOlder(state, older);
    }
    return await runAttempts(state);
  } finally {
    deps.quarantine.releaseRequest(state.fingerprint, state.runId);
    if (taken?.ok === true) taken.value();
  }
}

function createState(
  job: CompletionJob,
  deps: CompletionDependencies,
  emit: EmitToken,
  signal: AbortSignal,
  service: ServiceConfig,
  pool: PoolConfig,
): RunState {
  return {
    job,
    deps,
    emit,
    signal,
    service,
    pool,
    pieces: hashPieces(job.account.name, job.prompt, pool.pieceTokens),
    fingerprint: computeFingerprint(job.account.name, service.name, job.prompt),
    // Callers choose their ids freely, so two accounts may use the same one.
    runId: `${job.requestId}~${randomUUID()}`,
    texts: [],
    exclude: new Set(),
    failures: new Map(),
    version: undefined,
    cell: 0,
    attempts: 0,
    redirects: 0,
    sent: false,
    isolated: false,
    deadlineMs: job.acceptedAtMs + service.deadlineMs,
  };
}
