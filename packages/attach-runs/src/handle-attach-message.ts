import { readMonotonicMs } from '@laburnumshift/clock';
import type { RunOutputRequest, RunOutputChunk } from '@laburnumshift/types';
import { addReader } from './add-reader.js';
import type { RunBuffer } from './run-buffer.js';
import { waitForChange } from './wait-for-change.js';

/** Largest number of tokens in one reply; keeps the frames between nodes small. */
const MAX_CHUNK_TOKENS = 512;
const MAX_WAIT_MS = 5_000;

/**
 * Answers a poll of another node that reads a run of this node. Waits for output after the requested offset for as long
 * as the poll asks, at most 5 s.
 *
 * @returns `absent` when this node does not hold the run or has dropped output from the offset on, otherwise the tokens
 *   that are there, with the end of the run when they reach it
 */
export async function handleAttachMessage(
  run: RunBuffer | undefined,
  attach: RunOutputRequest,
): Promise<RunOutputChunk> {
  const { offset } = attach;
  if (run === undefined) return { kind: 'absent' };
  const release = addReader(run);
  try {
    const untilMs = readMonotonicMs() + Math.min(attach.waitMs, MAX_WAIT_MS);
    for (;;) {
      const remainingMs = untilMs - readMonotonicMs();
      const length = run.base + run.texts.length;
      if (length > offset || run.end !== undefined || remainingMs <= 0) break;
      await waitForChange(run, undefined, remainingMs);
    }
  } finally {
    release();
  }
  if (offset < run.base) return { kind: 'absent' };
  const from = offset - run.base;
  const texts = run.texts.slice(from, from + MAX_CHUNK_TOKENS);
  const isUpToDate = from + texts.length >= run.texts.length;
  const finished = run.reason && { kind: 'finished' as const, reason: run.reason };
  return { kind: 'tokens', offset, texts, end: isUpToDate ? (run.end ?? finished) : undefined };
}
