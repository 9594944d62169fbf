import type { RunEnd } from '@laburnumshift/types';

/**
 * Starts a run. It emits tokens in order from the start offset of the request on, and stops when the signal aborts. The
 * promise resolves with the end of the run; a rejection becomes a refusal with the code `internal`.
 */
export type StartRun = (
  emit: (text: string, finishReason: 'stop' | 'length' | null) => void,
  signal: AbortSignal,
) => Promise<RunEnd>;
