import type { TraceService } from './trace-service.js';

/** Sizes of the simulated pool and its trace. */
export interface SimulationOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Requests before this time are not counted. */
  readonly warmUpMs: number;
  readonly services: readonly TraceService[];
  /** Relative number of prompts of each account. */
  readonly accounts: Readonly<Record<string, number>>;
  readonly engines: number;
  /** Capacity of an engine's prefix cache, pieces. */
  readonly enginePieces: number;
  readonly pieceBytes: number;
  readonly pieceTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly memoryPieces: number;
  readonly diskPieces: number;
  readonly linkBytesPerSecond: number;
  readonly diskBytesPerSecond: number;
  /** Pieces that an account may keep. */
  readonly quotaPieces: number;
}
