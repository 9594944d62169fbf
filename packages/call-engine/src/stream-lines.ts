import type { IncomingMessage } from 'node:http';
import { StringDecoder } from 'node:string_decoder';
import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { PeerError } from '@laburnumshift/types';
import type { LineItem } from './line-item.js';

const PREFIX = 'data:';

/**
 * Reads server-sent events. Time counts only while this waits for the peer, not while the reader is busy, and bytes that do not
 * complete an event do not prolong it.
 *
 * @param readLimitMs time until the next event, asked before each one
 * @param signal tells an abort by the caller from a broken connection
 */
export async function* streamLines(
  response: IncomingMessage,
  maxLineBytes: number,
  readLimitMs: () => number,
  signal: AbortSignal,
): AsyncGenerator<LineItem> {
  const chunks = (response.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>)[
    Symbol.asyncIterator
  ]();
  const decoder = new StringDecoder('utf8');
  let rest = '';
  let limitMs = readLimitMs();
  for (;;) {
    const wait = { silent: false };
    const cancelTimer = startTimer(limitMs, () => {
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
    limitMs = Math.max(1, limitMs - (readMonotonicMs() - startMs));
    const lines = (rest + decoder.write(step.value)).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > maxLineBytes || lines.some((line) => line.length > maxLineBytes)) {
      yield { kind: 'error', error: { kind: 'bad-answer', detail: 'a line is too long', sent: true } };
      return;
    }
    for (const line of lines) {
      if (!line.startsWith(PREFIX)) continue;
      yield { kind: 'data', data: line.slice(PREFIX.length).trim() };
      limitMs = readLimitMs();
    }
  }
}

function describeFailure(silent: boolean, cancelled: boolean, detail: string): PeerError {
  if (silent) return { kind: 'silent', detail: 'the stream stopped', sent: true };
  if (cancelled) return { kind: 'cancelled', detail: 'by the caller', sent: true };
  return { kind: 'broken', detail, sent: true };
}
