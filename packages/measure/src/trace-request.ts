import type { PieceRef } from '@laburnumshift/types';
import type { TrafficClass } from './traffic-class.js';

/** One request of a trace. */
export interface TraceRequest {
  readonly id: string;
  readonly atMs: number;
  readonly account: string;
  readonly conversation: string;
  readonly kind: TrafficClass;
  /** The last piece is shorter than the others and never returns. */
  readonly pieces: readonly PieceRef[];
  readonly tokens: number;
}
