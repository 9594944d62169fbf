import { readMonotonicMs } from '@laburnumshift/clock';
import { renderPeerError } from '@laburnumshift/errors';
import type { OlderSystemClient, PeerError, RunEnd } from '@laburnumshift/types';
import { checkToken } from './check-token.js';
import { createFailure } from './create-failure.js';
import type { RunState } from './run-state.js';
import { traceStep } from './trace-step.js';

/** The older system reports no estimate; tokens may pause as long as on an engine. */
const SILENCE_MS = 2_000;
const RETRY_AFTER_MS = 1_000;

/** Runs a completion on the older system. It stays there: a conversation is not split between the systems in mid-run. */
export async function runOnOlder(state: RunState, older: OlderSystemClient): Promise<RunEnd> {
  const { job } = state;
  const body = {
    service: job.service,
    prompt: job.prompt,
    max_tokens: job.maxTokens,
    stream: true,
    // The older system may keep state by conversation, and two accounts may use the same name.
    conversation: job.conversation && `${job.account.name}/${job.conversation}`,
  };
  const limits = {
    firstTokenMs: Math.max(1, state.deadlineMs - readMonotonicMs()),
    betweenTokensMs: SILENCE_MS,
  };
  const failRun = (error: PeerError): RunEnd => {
    if (error.sent) state.sent = true;
    traceStep(state, 'older-failed', { error: renderPeerError(error) });
    const message = 'the older system failed';
    return { kind: 'refused', refusal: createFailure(state, 'backend_failed', message, RETRY_AFTER_MS) };
  };
  try {
    for await (const item of older.streamCompletion(body, state.runId, limits, state.signal)) {
      if (item.kind === 'error') return failRun(item.error);
      if (item.kind === 'done') break;
      state.sent = true;
      const { token } = item;
      const isBefore = token.id === state.runId && token.offset < job.startOffset;
      const expected = { id: state.runId, version: undefined };
      const verdict = isBefore ? 'duplicate' : checkToken(token, expected, job.startOffset, state.texts);
      if (verdict === 'duplicate') continue;
      if (verdict !== 'pass') return failRun({ kind: 'bad-answer', detail: verdict, sent: true });
      const reason = token.finish_reason ?? (token.offset + 1 >= job.maxTokens ? 'length' : null);
      state.texts.push(token.text);
      state.emit(token.text, reason);
      if (reason !== null) return { kind: 'finished', reason };
    }
  } catch (error) {
    return failRun({ kind: 'broken', detail: String(error), sent: true });
  }
  return failRun({ kind: 'broken', detail: 'stream ended without a finish reason', sent: true });
}
