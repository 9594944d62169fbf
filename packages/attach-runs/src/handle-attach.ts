import { readMonotonicMs } from '@laburnumshift/clock';
import type { RunAttach, RunChunk } from '@laburnumshift/types';
import { holdRun } from './hold-run.js';
import type { RunBuffer } from './run-buffer.js';
import { waitChange } from './wait-change.js';

/** Tokens in one reply; keeps frames between nodes small. */
const MAX_CHUNK_TOKENS = 512;
const MAX_WAIT_MS = 5_000;

/** Answers another node that follows a run of this one; waits a while for new output. */
export async function handleAttach(run: RunBuffer | undefined, attach: RunAttach): Promise<RunChunk> {
  const { offset } = attach;
  if (run === undefined) return { kind: 'absent' };
  const release = holdRun(run);
  try {
    const untilMs = readMonotonicMs() + Math.min(attach.waitMs, MAX_WAIT_MS);
    for (;;) {
      const remainingMs = untilMs - readMonotonicMs();
      const length = run.base + run.texts.length;
      if (length > offset || run.end !== undefined || remainingMs <= 0) break;
      await waitChange(run, undefined, remainingMs);
    }
  } finally {
    release();
  }
  if (offset < run.base) return { kind: 'absent' };
  const from = offset - run.base;
  const texts = run.texts.slice(from, from + MAX_CHUNK_TOKENS);
  const isWhole = from + texts.length >= run.texts.length;
  const finished = run.reason && { kind: 'finished' as const, reason: run.reason };
  return { kind: 'tokens', offset, texts, end: isWhole ? (run.end ?? finished) : undefined };
}
