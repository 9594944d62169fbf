import type { RunEnd } from '@laburnumshift/types';

/** Output and state of one run on this node. */
export interface RunBuffer {
  /** Account and request id as a JSON array. */
  readonly key: string;
  /** Hash of the request body. */
  readonly bodyHash: string;
  /** Aborts the run. */
  readonly abortController: AbortController;
  /** Time without a reader before the run is aborted, milliseconds; 0 aborts it at once. */
  readonly orphanTimeoutMs: number;
  /** Offset of the first element of `texts`. */
  base: number;
  /** Texts of the tokens that are still buffered. */
  texts: string[];
  /** Size of `texts`: one byte per character and the overhead of each string. */
  bytes: number;
  /** Finish reason; set together with the last token. */
  reason: 'stop' | 'length' | undefined;
  /** Set when the run has ended. */
  end: RunEnd | undefined;
  readerCount: number;
  /** Cancels the timer that aborts a run without readers. */
  cancelOrphanTimer: (() => void) | undefined;
  /** Callbacks of readers that wait for a change; each change calls and removes all of them. */
  readonly waiting: Set<() => void>;
}
