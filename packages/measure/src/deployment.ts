import type { TrafficClass } from './traffic-class.js';

/** A deployment of section 1.2 of the design page, reduced to one pool. */
export interface Deployment {
  readonly engines: number;
  readonly slots: number;
  readonly urgentSlots: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Pieces that an engine's memory holds. */
  readonly enginePieces: number;
  readonly pieceBytes: number;
  readonly pieceTokens: number;
  readonly memoryPieces: number;
  readonly diskPieces: number;
  readonly linkBytesPerSecond: number;
  readonly diskBytesPerSecond: number;
  readonly classes: readonly TrafficClass[];
  /** The measure with the most weight. */
  readonly heaviest: 'ttft' | 'recomputed';
}
