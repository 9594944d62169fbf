import type { RetryBudget } from '@laburnumshift/limit-retries';
import type {
  Config,
  CutoverConfig,
  EngineClient,
  EngineFailure,
  OlderSystemClient,
  PieceRef,
  EnginePlacementReply,
  EnginePlacementRequest,
  PoolConfig,
  Quarantine,
  Result,
  RunReport,
  ServingSystem,
} from '@laburnumshift/types';
import type { TraceRecorder } from './trace-recorder.js';

/** The parts of the node that a completion uses. */
export interface CompletionDependencies {
  readonly getConfig: () => Config | undefined;
  /** Asks the home node of the cell for an engine; chooses one on this node when the home does not reply. */
  readonly place: (request: EnginePlacementRequest) => Promise<EnginePlacementReply>;
  /** Ranks the cells of the pool for a prompt, best first. The second is used when the first is full. */
  readonly rankCells: (pool: PoolConfig, pieces: readonly PieceRef[]) => readonly number[];
  readonly getEngineClient: (name: string, url: string) => EngineClient;
  readonly reportRun: (report: RunReport) => void;
  readonly reportEngineFailure: (failure: EngineFailure) => void;
  readonly quarantine: Quarantine;
  readonly retryBudget: RetryBudget;
  /** Last boot id that this node has seen of each engine, by engine name; shared by all runs of the node. */
  readonly bootIds: Map<string, string>;
  readonly recordTrace: TraceRecorder;
  /**
   * Reserves one run and `tokens` tokens within the limits of the account. The value releases the reservation; the error
   * is the time to retry after, milliseconds. Limits are not checked when this is absent.
   */
  readonly reserveQuota?: ((account: string, tokens: number) => Result<() => void, number>) | undefined;
  /** Returns the client of the older system at a base URL; absent when no older system is configured. */
  readonly getOlderSystem?: ((url: string) => OlderSystemClient) | undefined;
  /** Chooses the system that takes a new run during a cutover. */
  readonly chooseSystem?:
    ((account: string, conversation: string, cutover: CutoverConfig) => ServingSystem) | undefined;
}
