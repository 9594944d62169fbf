import type { IncomingMessage } from 'node:http';
import type { HttpPool } from '@laburnumshift/call-store';
import { toPeerError } from '@laburnumshift/call-store';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { EngineRequest, EngineStreamItem, StreamTimeouts } from '@laburnumshift/types';
import { parseToken } from './parse-token.js';
import { readSseData } from './read-sse-data.js';

/** Timeout for reading the body of an error response. */
const ERROR_BODY_MS = 1_000;

function failStream(detail: string): EngineStreamItem {
  return { kind: 'error', error: { kind: 'bad-answer', detail, sent: true } };
}

/** Yields the tokens of a response; the last item is `done` or an error. */
async function* readTokens(
  response: IncomingMessage,
  request: EngineRequest,
  getTimeoutMs: (offset: number) => number,
  maxLineBytes: number,
  signal: AbortSignal,
): AsyncGenerator<EngineStreamItem> {
  const bootId = response.headers['x-boot-id'];
  if (typeof bootId !== 'string') {
    yield failStream('the response has no x-boot-id header');
    return;
  }
  let offset = request.resume_offset;
  let finished = offset >= request.max_tokens;
  for await (const item of readSseData(response, maxLineBytes, () => getTimeoutMs(offset), signal)) {
    if (item.kind === 'error') {
      yield item;
      return;
    }
    if (item.kind === 'end') {
      const detail = 'the answer ended without [DONE]';
      yield { kind: 'error', error: { kind: 'broken', detail, sent: true } };
      return;
    }
    if (item.data === '[DONE]') {
      yield finished ? { kind: 'done' } : failStream('received [DONE] before the last token');
      return;
    }
    const token = parseToken(request, offset, item.data);
    if (!token.ok || finished) {
      yield failStream(token.ok ? 'a token after the last one' : token.error);
      return;
    }
    offset += 1;
    finished = token.value.finish_reason !== null;
    yield { kind: 'token', token: token.value, bootId };
  }
}

/**
 * Runs a completion. Every token is validated before it is yielded; the last item is `done` or an error. Leaving the loop early
 * closes the connection, which cancels the run. After a `silent` error the pool opens new connections, because its idle ones
 * may be silent too.
 */
export async function* streamCompletion(
  pool: HttpPool,
  maxLineBytes: number,
  request: EngineRequest,
  limits: StreamTimeouts,
  signal: AbortSignal,
): AsyncGenerator<EngineStreamItem> {
  const startMs = readMonotonicMs();
  const opened = await pool.openResponse({
    method: 'POST',
    path: '/v1/completions',
    body: request,
    timeoutMs: limits.firstTokenMs,
    progress: {
      pauseTimeoutMs: limits.betweenTokensMs,
      deadlineMs: Math.max(limits.firstTokenMs, limits.deadlineMs ?? 0),
    },
    signal,
  });
  if (!opened.ok) {
    yield { kind: 'error', error: opened.error };
    return;
  }
  const response = opened.value;
  if (response.statusCode !== 200) {
    const answer = await pool.readResponse(response, ERROR_BODY_MS);
    yield { kind: 'error', error: answer.ok ? toPeerError(answer.value) : answer.error };
    return;
  }
  const getTimeoutMs = (offset: number): number =>
    offset > request.resume_offset
      ? limits.betweenTokensMs
      : Math.max(limits.betweenTokensMs, limits.firstTokenMs - (readMonotonicMs() - startMs));
  let isComplete = false;
  try {
    for await (const item of readTokens(response, request, getTimeoutMs, maxLineBytes, signal)) {
      isComplete = item.kind === 'done';
      if (item.kind === 'error' && item.error.kind === 'silent') pool.closeIdleConnections();
      yield item;
    }
  } finally {
    // After [DONE], reading the response to its end returns the connection to the pool.
    if (isComplete) response.resume();
    else response.destroy();
  }
}
