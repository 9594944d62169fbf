import type { RunBuffer } from './run-buffer.js';

/** Creates the empty output of a run that starts at an offset. */
export function createRunBuffer(
  key: string,
  bodyHash: string,
  startOffset: number,
  orphanMs: number,
): RunBuffer {
  return {
    key,
    bodyHash,
    stopper: new AbortController(),
    orphanMs,
    base: startOffset,
    texts: [],
    bytes: 0,
    reason: undefined,
    end: undefined,
    readers: 0,
    cancelOrphan: undefined,
    waiting: new Set(),
  };
}
