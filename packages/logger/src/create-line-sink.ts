import { write, writeSync } from 'node:fs';
import { startTimer } from '@laburnumshift/clock';
import type { LineSink } from './line-sink.js';

/** Maximum length of the buffered lines, in UTF-16 code units; further lines are dropped and counted. */
const MAX_BUFFERED_LENGTH = 1_048_576;
/** Time for which lines are buffered before a write, milliseconds, as each write wakes the process and a thread. */
const FLUSH_DELAY_MS = 200;

/**
 * Creates a sink that writes lines to a file descriptor without blocking. Drops lines while the reader is too slow, and logs
 * their number. After a write error other than EAGAIN, the rest of that write is lost.
 */
export function createLineSink(descriptor: number): LineSink {
  let waiting: string[] = [];
  let bufferedLength = 0;
  let dropped = 0;
  let isFlushScheduled = false;
  let isWriting = false;

  const takeBuffered = (): string => {
    if (dropped > 0) waiting.push(`${JSON.stringify({ msg: '[logger] lines were dropped', dropped })}\n`);
    const text = waiting.join('');
    waiting = [];
    bufferedLength = 0;
    dropped = 0;
    return text;
  };
  const writeBytes = (bytes: Buffer): void => {
    isWriting = true;
    write(descriptor, bytes, (error, count) => {
      isWriting = false;
      if (error !== null && error.code !== 'EAGAIN') return;
      const rest = bytes.subarray(error === null ? count : 0);
      if (rest.length > 0)
        startTimer(FLUSH_DELAY_MS, () => {
          writeBytes(rest);
        });
      else if (waiting.length > 0) scheduleFlush();
    });
  };
  const scheduleFlush = (): void => {
    if (isFlushScheduled || isWriting) return;
    isFlushScheduled = true;
    startTimer(FLUSH_DELAY_MS, () => {
      isFlushScheduled = false;
      if (!isWriting && waiting.length > 0) writeBytes(Buffer.from(takeBuffered()));
    });
  };
  return {
    write: (line) => {
      if (bufferedLength + line.length > MAX_BUFFERED_LENGTH) {
        dropped += 1;
        return;
      }
      waiting.push(line);
      bufferedLength += line.length;
      scheduleFlush();
    },
    flush: () => {
      if (waiting.length === 0) return;
      try {
        writeSync(descriptor, takeBuffered());
      } catch (error) {
        // The reader is gone or too slow while the process exits, so there is nowhere left to report this.
        if (!(error instanceof Error)) throw error;
      }
    },
  };
}
