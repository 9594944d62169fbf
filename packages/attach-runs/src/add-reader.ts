import { startTimer } from '@laburnumshift/clock';
import type { RunBuffer } from './run-buffer.js';

/**
 * Counts a reader of a run. When the last reader is removed, the run is aborted after its orphan timeout unless another
 * reader is added meanwhile.
 *
 * @returns a function that removes the reader
 */
export function addReader(run: RunBuffer): () => void {
  run.readerCount += 1;
  run.cancelOrphanTimer?.();
  run.cancelOrphanTimer = undefined;
  return () => {
    run.readerCount -= 1;
    if (run.readerCount > 0 || run.end !== undefined) return;
    if (run.orphanTimeoutMs <= 0) {
      run.abortController.abort();
      return;
    }
    run.cancelOrphanTimer = startTimer(run.orphanTimeoutMs, () => {
      run.abortController.abort();
    });
  };
}
