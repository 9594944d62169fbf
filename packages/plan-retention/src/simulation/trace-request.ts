import type { PieceRef } from '@laburnumshift/types';

/** One request of a trace. */
export interface TraceRequest {
  /** Arrival time since the start of the trace, milliseconds. */
  readonly atMs: number;
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly pieces: readonly PieceRef[];
}
