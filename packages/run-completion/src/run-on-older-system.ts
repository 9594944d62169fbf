import { readMonotonicMs } from '@laburnumshift/clock';
import { renderPeerError } from '@laburnumshift/errors';
import type { OlderSystemClient, PeerError, RunEnd } from '@laburnumshift/types';
import { checkStreamToken } from './check-stream-token.js';
import { createRunRefusal } from './create-run-refusal.js';
import type { RunState } from './run-state.js';
import { traceRun } from './trace-run.js';

/**
 * Longest time between two tokens, the same as on an engine. The first token is due at the deadline, because the older
 * system reports no estimate.
 */
const MAX_SILENCE_MS = 2_000;
const RETRY_AFTER_MS = 1_000;

/**
 * Runs a completion on the older system. After a failure the run is refused and not continued on an engine, because one
 * run must not be split between the two systems.
 */
export async function runOnOlderSystem(state: RunState, older: OlderSystemClient): Promise<RunEnd> {
  const { request } = state;
  const body = {
    service: request.service,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    stream: true,
    // The older system may keep state by conversation, and two accounts may use the same conversation name.
    conversation: request.conversation && `${request.account.name}/${request.conversation}`,
  };
  const limits = {
    firstTokenMs: Math.max(1, state.deadlineMs - readMonotonicMs()),
    betweenTokensMs: MAX_SILENCE_MS,
  };
  const failRun = (error: PeerError): RunEnd => {
    if (error.sent) state.sent = true;
    traceRun(state, 'older-failed', { error: renderPeerError(error) });
    const message = 'the older system failed';
    return { kind: 'refused', refusal: createRunRefusal(state, 'backend_failed', message, RETRY_AFTER_MS) };
  };
  try {
    for await (const item of older.streamCompletion(body, state.runId, limits, state.signal)) {
      if (item.kind === 'error') return failRun(item.error);
      if (item.kind === 'done') break;
      state.sent = true;
      const { token } = item;
      const isBeforeStart = token.id === state.runId && token.offset < request.startOffset;
      const expected = { id: state.runId, version: undefined };
      const verdict = isBeforeStart
        ? 'duplicate'
        : checkStreamToken(token, expected, request.startOffset, state.texts);
      if (verdict === 'duplicate') continue;
      if (verdict !== 'pass') return failRun({ kind: 'bad-answer', detail: verdict, sent: true });
      const reason = token.finish_reason ?? (token.offset + 1 >= request.maxTokens ? 'length' : null);
      state.texts.push(token.text);
      state.emit(token.text, reason);
      if (reason !== null) return { kind: 'finished', reason };
    }
  } catch (error) {
    return failRun({ kind: 'broken', detail: String(error), sent: true });
  }
  return failRun({ kind: 'broken', detail: 'stream ended without a finish reason', sent: true });
}
