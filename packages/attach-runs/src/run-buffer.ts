import type { RunEnd } from '@laburnumshift/types';

/** Output of one run on this node. */
export interface RunBuffer {
  readonly key: string;
  readonly bodyHash: string;
  readonly stopper: AbortController;
  /** Time without a reader before the run is aborted, milliseconds. */
  readonly orphanMs: number;
  /** Offset of the first text that is still held. */
  base: number;
  texts: string[];
  bytes: number;
  /** Set together with the last token. */
  reason: 'stop' | 'length' | undefined;
  end: RunEnd | undefined;
  readers: number;
  cancelOrphan: (() => void) | undefined;
  /** Called and cleared at each change. */
  readonly waiting: Set<() => void>;
}
