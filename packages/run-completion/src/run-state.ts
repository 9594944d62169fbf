import type { PieceRef, PoolConfig, ServiceConfig } from '@laburnumshift/types';
import type { CompletionDependencies } from './completion-dependencies.js';
import type { CompletionJob } from './completion-job.js';
import type { EmitToken } from './emit-token.js';

/** Progress of one completion over its attempts. */
export interface RunState {
  readonly job: CompletionJob;
  readonly deps: CompletionDependencies;
  readonly emit: EmitToken;
  readonly signal: AbortSignal;
  readonly service: ServiceConfig;
  readonly pool: PoolConfig;
  readonly pieces: readonly PieceRef[];
  readonly fingerprint: string;
  /** Unique over accounts and nodes; engines and homes see it in place of the caller's id. */
  readonly runId: string;
  /** Output tokens passed on, from the job's start offset. */
  readonly texts: string[];
  /** Engines not to be asked again. */
  readonly exclude: Set<string>;
  /** Failed attempts by engine. */
  readonly failures: Map<string, number>;
  /** Weight version of the tokens passed on, or the one to ask for next. */
  version: string | undefined;
  /** Cell that the last placement used. */
  cell: number;
  attempts: number;
  /** Placements that cost no retry: another weight version or a leaving engine. */
  redirects: number;
  /** True when a byte may have reached a backend server. */
  sent: boolean;
  /** Must run on an engine without other suspects. */
  isolated: boolean;
  /** Monotonic milliseconds at which the next token is due; moves when a stream that had begun breaks. */
  deadlineMs: number;
}
