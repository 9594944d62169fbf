import type { STREAM_FAULT_KINDS } from './stream-fault-kinds.js';

/** A fault of the next answer streams. */
export interface StreamFault {
  readonly kind: (typeof STREAM_FAULT_KINDS)[number];
  /** Good tokens that a stream sends before the fault. */
  readonly afterTokens: number;
  /** Streams that still get the fault. */
  readonly streams: number;
}
