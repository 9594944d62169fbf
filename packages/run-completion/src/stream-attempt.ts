import { readMonotonicMs } from '@laburnumshift/clock';
import type {
  EngineClient,
  EngineRequest,
  EngineToken,
  EnginePlacement,
  PeerError,
  RunReport,
} from '@laburnumshift/types';
import { PRIORITIES } from '@laburnumshift/types';
import type { AttemptResult } from './attempt-result.js';
import { checkStreamToken } from './check-stream-token.js';
import type { RunState } from './run-state.js';

/** A stream that sends no byte for this long counts as silent (section 6.5 of the design page). */
const MAX_SILENCE_MS = 2_000;

/**
 * Runs one attempt on the granted engine, checks its tokens and sends them to the caller. Reports the attempt when it
 * ends, and cancels it on the engine when it fails.
 *
 * @param recompute true when the engine must not import or use cached pieces
 */
export async function streamAttempt(
  state: RunState,
  grant: EnginePlacement,
  engine: EngineClient,
  attemptId: string,
  recompute: boolean,
): Promise<AttemptResult> {
  const startedAtMs = readMonotonicMs();
  const engineRequest = buildEngineRequest(state, grant, attemptId, recompute);
  const limits = {
    firstTokenMs: Math.max(1, Math.min(grant.estimateMs + MAX_SILENCE_MS, state.deadlineMs - startedAtMs)),
    betweenTokensMs: MAX_SILENCE_MS,
    deadlineMs: Math.max(1, state.deadlineMs - startedAtMs),
  };
  const expected = { id: attemptId, version: grant.weightVersion };
  let bootId: string | undefined;
  let last: EngineToken | undefined;
  let firstTokenMs: number | undefined;

  const finishAttempt = (result: AttemptResult): AttemptResult => {
    const cancelled = result.kind === 'failed' && state.signal.aborted;
    state.deps.reportRun({
      ...buildReport(state, grant, attemptId, last),
      result: result.kind === 'finished' ? 'finished' : cancelled ? 'cancelled' : 'failed',
      firstTokenMs,
    });
    return result;
  };
  const failAttempt = (error: PeerError): AttemptResult => {
    if (error.sent) state.sent = true;
    // The engine may still be working on a silent connection; without the cancel the run would hold a slot of the engine.
    if (error.sent && error.kind !== 'version-mismatch')
      void engine.cancelRun(attemptId).catch(() => undefined);
    return finishAttempt({ kind: 'failed', error, bootId });
  };

  try {
    for await (const item of engine.streamCompletion(engineRequest, limits, state.signal)) {
      if (item.kind === 'error') return failAttempt(item.error);
      if (item.kind === 'done') break;
      state.sent = true;
      bootId = item.bootId;
      state.deps.bootIds.set(grant.engine, bootId);
      const verdict = checkStreamToken(item.token, expected, state.request.startOffset, state.texts);
      if (verdict === 'duplicate') continue;
      if (verdict !== 'pass') return failAttempt({ kind: 'bad-answer', detail: verdict, sent: true });
      last = item.token;
      firstTokenMs ??= readMonotonicMs() - startedAtMs;
      state.version = grant.weightVersion;
      const reason =
        item.token.finish_reason ?? (item.token.offset + 1 >= state.request.maxTokens ? 'length' : null);
      state.texts.push(item.token.text);
      state.emit(item.token.text, reason);
      if (reason !== null) return finishAttempt({ kind: 'finished', reason });
    }
  } catch (error) {
    return failAttempt({ kind: 'broken', detail: String(error), sent: true });
  }
  if (state.signal.aborted) return failAttempt({ kind: 'cancelled', detail: 'caller gone', sent: true });
  return failAttempt({ kind: 'broken', detail: 'stream ended without a finish reason', sent: true });
}

function buildEngineRequest(
  state: RunState,
  grant: EnginePlacement,
  attemptId: string,
  recompute: boolean,
): EngineRequest {
  return {
    model: state.service.model ?? state.pool.model ?? '',
    adapter: state.service.adapter,
    prompt: state.request.prompt,
    max_tokens: state.request.maxTokens,
    stream: true,
    request_id: attemptId,
    priority: PRIORITIES[state.service.priority],
    cache_scope: grant.cacheScope,
    weight_version: grant.weightVersion,
    pieces: state.pieces,
    resume_offset: state.request.startOffset + state.texts.length,
    imports: recompute ? [] : grant.imports,
    head_pieces: recompute ? state.pieces.length : grant.headPieces,
  };
}

function buildReport(
  state: RunState,
  grant: EnginePlacement,
  attemptId: string,
  last: EngineToken | undefined,
): Omit<RunReport, 'result' | 'firstTokenMs'> {
  return {
    requestId: attemptId,
    pool: state.pool.name,
    cell: state.cell,
    engine: grant.engine,
    fingerprint: state.fingerprint,
    estimateMs: grant.estimateMs,
    weightVersion: grant.weightVersion,
    cacheScope: grant.cacheScope,
    service: state.service.name,
    account: state.request.account.name,
    pieces: state.pieces,
    cachedPieces: last?.cached_pieces ?? 0,
    importedPieces: last?.imported_pieces ?? 0,
    computedTokens: last?.computed_tokens ?? 0,
    outputTokens: state.texts.length,
  };
}
