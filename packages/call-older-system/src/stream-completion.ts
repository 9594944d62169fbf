import { startTimer } from '@laburnumshift/clock';
import type { EngineStreamItem, PeerError, StreamLimits } from '@laburnumshift/types';
import { openStream } from './open-stream.js';
import { parseJson } from './parse-json.js';
import { readRefusal } from './read-refusal.js';
import { splitEvents } from './split-events.js';
import { TOKEN_SCHEMA } from './token-schema.js';

/** Runs a completion on the older system. Tokens with another id or a gap in the offsets are not passed on. */
export async function* streamCompletion(
  url: string,
  body: Readonly<Record<string, unknown>>,
  requestId: string,
  limits: StreamLimits,
  signal: AbortSignal,
): AsyncGenerator<EngineStreamItem> {
  const stopper = new AbortController();
  const stop = (): void => {
    stopper.abort();
  };
  if (signal.aborted) stop();
  signal.addEventListener('abort', stop);
  let isSilent = false;
  const startSilence = (ms: number): (() => void) =>
    startTimer(ms, () => {
      isSilent = true;
      stop();
    });
  let cancelTimer = startSilence(limits.firstTokenMs);
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
    const opened = await openStream(url, { ...body, request_id: requestId }, stopper.signal);
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
    let expected = typeof body.resume_offset === 'number' ? body.resume_offset : 0;
    for await (const data of splitEvents(response)) {
      cancelTimer();
      if (data === '[DONE]') {
        yield { kind: 'done' };
        return;
      }
      const token = TOKEN_SCHEMA.safeParse(parseJson(data)).data;
      if (token?.id !== requestId || token.offset !== expected) {
        yield fail('a token of another answer, with a gap or of a wrong shape');
        return;
      }
      expected += 1;
      yield { kind: 'token', token, bootId };
      cancelTimer = startSilence(limits.betweenTokensMs);
    }
    yield describeError('the stream ended without its end mark', true);
  } catch (error) {
    yield describeError(String(error), true);
  } finally {
    cancelTimer();
    stop();
    signal.removeEventListener('abort', stop);
  }
}
