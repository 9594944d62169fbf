import { createRefusal } from '@laburnumshift/errors';
import type { RunOutputItem } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { addReader } from './add-reader.js';
import type { RunBuffer } from './run-buffer.js';
import { waitForChange } from './wait-for-change.js';

/**
 * Reads the output of a run of this node from an offset to its end, and waits for tokens that are not produced yet. The
 * last item is the end of the run, or a refusal when the buffer has dropped tokens that were not read. There is no end
 * after an abort.
 */
export async function* readLocalRun(
  run: RunBuffer,
  offset: number,
  signal: AbortSignal,
): AsyncGenerator<RunOutputItem, void> {
  const release = addReader(run);
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
        await waitForChange(run, signal);
      }
    }
  } finally {
    release();
  }
}
