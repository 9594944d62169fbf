import { startTimer } from '@laburnumshift/clock';
import type { EngineStreamItem, PeerError, StreamTimeouts } from '@laburnumshift/types';
import { openStream } from './open-stream.js';
import { parseJson } from './parse-json.js';
import { readRefusal } from './read-refusal.js';
import { readSseData } from './read-sse-data.js';
import { TOKEN_SCHEMA } from './token-schema.js';

/**
 * Runs a completion on the older system. The id and the offset of every token are checked before it is yielded; the last item
 * is `done` or an error. Leaving the loop early closes the connection.
 */
export async function* streamCompletion(
  url: string,
  body: Readonly<Record<string, unknown>>,
  requestId: string,
  limits: StreamTimeouts,
  signal: AbortSignal,
): AsyncGenerator<EngineStreamItem> {
  const abortController = new AbortController();
  const cancelRequest = (): void => {
    abortController.abort();
  };
  if (signal.aborted) cancelRequest();
  signal.addEventListener('abort', cancelRequest);
  let isSilent = false;
  const startSilenceTimer = (ms: number): (() => void) =>
    startTimer(ms, () => {
      isSilent = true;
      cancelRequest();
    });
  let cancelTimer = startSilenceTimer(limits.firstTokenMs);
  const describeError = (detail: string, sent: boolean): EngineStreamItem => {
    const getError = (): PeerError => {
      if (signal.aborted) return { kind: 'cancelled', detail: 'cancelled by the caller', sent };
      if (!sent) return { kind: 'unreachable', detail, sent };
      return isSilent
        ? { kind: 'silent', detail: 'no token in time', sent }
        : { kind: 'broken', detail, sent };
    };
    return { kind: 'error', error: getError() };
  };
  const fail = (detail: string): EngineStreamItem => ({
    kind: 'error',
    error: { kind: 'bad-answer', detail, sent: true },
  });

  try {
    const opened = await openStream(url, { ...body, request_id: requestId }, abortController.signal);
    if (!opened.ok) {
      yield describeError(opened.detail, opened.sent);
      return;
    }
    const { response } = opened;
    if (response.statusCode !== 200) {
      yield { kind: 'error', error: await readRefusal(response) };
      return;
    }
    const bootId = String(response.headers['x-boot-id'] ?? '');
    let expectedOffset = typeof body.resume_offset === 'number' ? body.resume_offset : 0;
    for await (const data of readSseData(response)) {
      cancelTimer();
      if (data === '[DONE]') {
        yield { kind: 'done' };
        return;
      }
      const token = TOKEN_SCHEMA.safeParse(parseJson(data)).data;
      if (token?.id !== requestId || token.offset !== expectedOffset) {
        yield fail('a token of another answer, with a gap or of a wrong shape');
        return;
      }
      expectedOffset += 1;
      yield { kind: 'token', token, bootId };
      cancelTimer = startSilenceTimer(limits.betweenTokensMs);
    }
    yield describeError('the stream ended without [DONE]', true);
  } catch (error) {
    yield describeError(String(error), true);
  } finally {
    cancelTimer();
    cancelRequest();
    signal.removeEventListener('abort', cancelRequest);
  }
}
