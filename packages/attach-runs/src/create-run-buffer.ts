import type { RunBuffer } from './run-buffer.js';

/**
 * Creates the empty output of a run.
 *
 * @param key account and request id of the run, see `RunBuffer.key`
 * @param startOffset offset of the first token
 * @param orphanTimeoutMs time without a reader before the run is aborted, milliseconds; 0 aborts it at once
 */
export function createRunBuffer(
  key: string,
  bodyHash: string,
  startOffset: number,
  orphanTimeoutMs: number,
): RunBuffer {
  return {
    key,
    bodyHash,
    abortController: new AbortController(),
    orphanTimeoutMs,
    base: startOffset,
    texts: [],
    bytes: 0,
    reason: undefined,
    end: undefined,
    readerCount: 0,
    cancelOrphanTimer: undefined,
    waiting: new Set(),
  };
}
