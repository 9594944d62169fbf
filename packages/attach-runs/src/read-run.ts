import { createRefusal } from '@laburnumshift/errors';
import type { RunItem } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { holdRun } from './hold-run.js';
import type { RunBuffer } from './run-buffer.js';
import { waitChange } from './wait-change.js';

/** Follows a run on this node from an offset to its end. */
export async function* readRun(
  run: RunBuffer,
  offset: number,
  signal: AbortSignal,
): AsyncGenerator<RunItem, void> {
  const release = holdRun(run);
  try {
    for (let next = offset; !signal.aborted;) {
      if (next < run.base) {
        const message = 'the caller read too slowly; older output is gone';
        const refusal = createRefusal('overloaded', message, OUTCOMES.ran, 0);
        yield { kind: 'end', end: { kind: 'refused', refusal } };
        return;
      }
      const text = run.texts[next - run.base];
      if (text !== undefined) {
        const isLast = next === run.base + run.texts.length - 1;
        yield { kind: 'token', offset: next, text, finishReason: isLast ? (run.reason ?? null) : null };
        next += 1;
      } else if (run.end !== undefined) {
        yield { kind: 'end', end: run.end };
        return;
      } else {
        await waitChange(run, signal);
      }
    }
  } finally {
    release();
  }
}
