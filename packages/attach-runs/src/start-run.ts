import type { RunEnd } from '@laburnumshift/types';

/**
 * Starts the work of a run. It emits tokens in order from the opening's start offset and stops when the signal aborts.
 */
export type StartRun = (
  emit: (text: string, finishReason: 'stop' | 'length' | null) => void,
  signal: AbortSignal,
) => Promise<RunEnd>;
