import type { TraceService } from './trace-service.js';

/** Parameters of the simulated pool and its trace. */
export interface SimulationOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Requests before this time are not counted. */
  readonly warmUpMs: number;
  readonly services: readonly TraceService[];
  /** Relative number of prompts by account. */
  readonly accounts: Readonly<Record<string, number>>;
  /** Number of engines. */
  readonly engines: number;
  /** Capacity of an engine's prefix cache, pieces. */
  readonly engineCachePieces: number;
  /** Size and tokens of each piece. */
  readonly pieceBytes: number;
  readonly pieceTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Capacity of the store's tiers, pieces. */
  readonly memoryPieces: number;
  readonly diskPieces: number;
  readonly linkBytesPerSecond: number;
  readonly diskBytesPerSecond: number;
  /** Quota of an account, pieces. */
  readonly quotaPieces: number;
}
