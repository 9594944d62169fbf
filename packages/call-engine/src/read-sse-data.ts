import type { IncomingMessage } from 'node:http';
import { StringDecoder } from 'node:string_decoder';
import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { PeerError } from '@laburnumshift/types';
import type { SseItem } from './sse-item.js';

const DATA_PREFIX = 'data:';

/**
 * Yields the data of server-sent events with one `data` line each. The timeout of an event runs only while this function waits
 * for the peer, not while the consumer is busy, and bytes that do not complete an event do not extend it.
 *
 * @param getTimeoutMs timeout of the next event, milliseconds; called before each event
 * @param signal distinguishes an abort by the caller from a failed connection
 */
export async function* readSseData(
  response: IncomingMessage,
  maxLineBytes: number,
  getTimeoutMs: () => number,
  signal: AbortSignal,
): AsyncGenerator<SseItem> {
  const chunks = (response.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>)[
    Symbol.asyncIterator
  ]();
  const decoder = new StringDecoder('utf8');
  let rest = '';
  let remainingMs = getTimeoutMs();
  for (;;) {
    const wait = { silent: false };
    const cancelTimer = startTimer(remainingMs, () => {
      wait.silent = true;
      response.destroy();
    });
    const startMs = readMonotonicMs();
    const step = await chunks.next().catch((error: unknown) => ({ failure: error }));
    cancelTimer();
    if ('failure' in step || wait.silent || signal.aborted) {
      const failure = 'failure' in step ? String(step.failure) : '';
      yield { kind: 'error', error: describeFailure(wait.silent, signal.aborted, failure) };
      return;
    }
    if (step.done === true) {
      yield { kind: 'end' };
      return;
    }
    remainingMs = Math.max(1, remainingMs - (readMonotonicMs() - startMs));
    const lines = (rest + decoder.write(step.value)).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > maxLineBytes || lines.some((line) => line.length > maxLineBytes)) {
      yield { kind: 'error', error: { kind: 'bad-answer', detail: 'a line is too long', sent: true } };
      return;
    }
    for (const line of lines) {
      if (!line.startsWith(DATA_PREFIX)) continue;
      yield { kind: 'data', data: line.slice(DATA_PREFIX.length).trim() };
      remainingMs = getTimeoutMs();
    }
  }
}

function describeFailure(silent: boolean, cancelled: boolean, detail: string): PeerError {
  if (silent) return { kind: 'silent', detail: 'the stream stopped', sent: true };
  if (cancelled) return { kind: 'cancelled', detail: 'by the caller', sent: true };
  return { kind: 'broken', detail, sent: true };
}
