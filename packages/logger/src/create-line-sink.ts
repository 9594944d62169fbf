import { write, writeSync } from 'node:fs';
import { startTimer } from '@laburnumshift/clock';
import type { LineSink } from './line-sink.js';

/** Bytes that wait for a slow reader; further lines are dropped and counted. */
const MAX_WAITING_BYTES = 1_048_576;
/** Lines gather for so long before they are written, milliseconds: each write wakes the process and a thread. */
const GATHER_MS = 200;

/** Writes lines to a file descriptor without blocking. Drops lines while its reader is too slow, and tells how many. */
export function createLineSink(descriptor: number): LineSink {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let isScheduled = false;
  let isWriting = false;

  const takeText = (): string => {
    if (dropped > 0) waiting.push(`${JSON.stringify({ msg: '[logger] lines were dropped', dropped })}\n`);
    const text = waiting.join('');
    waiting = [];
    waitingBytes = 0;
    dropped = 0;
    return text;
  };
  const writeRest = (bytes: Buffer): void => {
    isWriting = true;
    write(descriptor, bytes, (error, count) => {
      isWriting = false;
      if (error !== null && error.code !== 'EAGAIN') return;
      const rest = bytes.subarray(error === null ? count : 0);
      if (rest.length > 0)
        startTimer(GATHER_MS, () => {
          writeRest(rest);
        });
      else if (waiting.length > 0) scheduleWrite();
    });
  };
  const scheduleWrite = (): void => {
    if (isScheduled || isWriting) return;
    isScheduled = true;
    startTimer(GATHER_MS, () => {
      isScheduled = false;
      if (!isWriting && waiting.length > 0) writeRest(Buffer.from(takeText()));
    });
  };
  return {
    write: (line) => {
      if (waitingBytes + line.length > MAX_WAITING_BYTES) {
        dropped += 1;
        return;
      }
      waiting.push(line);
      waitingBytes += line.length;
      scheduleWrite();
    },
    flush: () => {
      if (waiting.length === 0) return;
      try {
        writeSync(descriptor, takeText());
      } catch (error) {
        // The reader is gone or too slow, and the process ends: there is no other place to tell.
        if (!(error instanceof Error)) throw error;
      }
    },
  };
}
