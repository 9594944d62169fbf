import { startTimer } from '@laburnumshift/clock';
import type { RunBuffer } from './run-buffer.js';

/**
 * Counts a reader of a run. When the last one leaves, the run is aborted after its orphan time unless another reader comes.
 *
 * @returns a function that ends the reading
 */
export function holdRun(run: RunBuffer): () => void {
  run.readers += 1;
  run.cancelOrphan?.();
  run.cancelOrphan = undefined;
  return () => {
    run.readers -= 1;
    if (run.readers > 0 || run.end !== undefined) return;
    if (run.orphanMs <= 0) {
      run.stopper.abort();
      return;
    }
    run.cancelOrphan = startTimer(run.orphanMs, () => {
      run.stopper.abort();
    });
  };
}
