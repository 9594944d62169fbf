import type { PieceRef } from '@laburnumshift/types';

/** A request of the trace. */
export interface Arrival {
  readonly atMs: number;
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly pieces: readonly PieceRef[];
}
