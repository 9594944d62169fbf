import type { RetryBudget } from '@laburnumshift/limit-retries';
import type {
  Config,
  CutoverConfig,
  EngineClient,
  EngineFailure,
  OlderSystemClient,
  PieceRef,
  PlaceReply,
  PlaceRequest,
  PoolConfig,
  Quarantine,
  Result,
  RunReport,
  System,
} from '@laburnumshift/types';
import type { TraceRecorder } from './trace-recorder.js';

/** What a completion needs from the rest of the node. */
export interface CompletionDependencies {
  readonly getConfig: () => Config | undefined;
  /** Asks the home of the request's cell, or decides alone when the home does not answer. */
  readonly place: (request: PlaceRequest) => Promise<PlaceReply>;
  /** Cells of the pool for this prompt in order of preference; a full first cell spills over to the second. */
  readonly rankCells: (pool: PoolConfig, pieces: readonly PieceRef[]) => readonly number[];
  readonly getEngine: (name: string, url: string) => EngineClient;
  readonly reportRun: (report: RunReport) => void;
  readonly reportFailure: (failure: EngineFailure) => void;
  readonly quarantine: Quarantine;
  readonly retryBudget: RetryBudget;
  /** Last known boot id of each engine on this node; shared by all runs. */
  readonly bootIds: Map<string, string>;
  readonly recordTrace: TraceRecorder;
  /** Takes the account's limits for one run; the error is the time to retry after, milliseconds. */
  readonly takeLimits?: ((account: string, tokens: number) => Result<() => void, number>) | undefined;
  /** Client of the older system at a base URL; absent when there is none. */
  readonly getOlder?: ((url: string) => OlderSystemClient) | undefined;
  readonly chooseSystem?:
    ((account: string, conversation: string, cutover: CutoverConfig) => System) | undefined;
}
