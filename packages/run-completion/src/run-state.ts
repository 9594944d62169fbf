import type { PieceRef, PoolConfig, ServiceConfig } from '@laburnumshift/types';
import type { CompletionDependencies } from './completion-dependencies.js';
import type { AcceptedCompletion } from './accepted-completion.js';
import type { EmitToken } from './emit-token.js';

/** State of one completion over all its attempts. */
export interface RunState {
  readonly request: AcceptedCompletion;
  readonly deps: CompletionDependencies;
  readonly emit: EmitToken;
  readonly signal: AbortSignal;
  readonly service: ServiceConfig;
  readonly pool: PoolConfig;
  readonly pieces: readonly PieceRef[];
  readonly fingerprint: string;
  /**
   * Unique over accounts and nodes. Engines and home nodes see ids derived from it in place of the caller's request id.
   */
  readonly runId: string;
  /** Texts of the output tokens that were sent to the caller, from the start offset of the request on. */
  readonly texts: string[];
  /** Names of the engines that this run must not be placed on again. */
  readonly exclude: Set<string>;
  /** Failed attempts by engine name; attempts that sent no byte are not counted. */
  readonly failures: Map<string, number>;
  /** Weight version of the tokens sent so far, or before the first token the version to request next. */
  version: string | undefined;
  /** Cell that the last placement was requested from. */
  cell: number;
  /** Failed attempts, without those counted in `redirects`. */
  attempts: number;
  /** Placements repeated without a retry from the budget, after another weight version or a leaving engine. */
  redirects: number;
  /** True when a byte may have reached a backend server or the older system. */
  sent: boolean;
  /** True when the run must be placed on an engine without other suspect requests. */
  isolated: boolean;
  /**
   * Time at which the next token is due, monotonic milliseconds. Starts anew when an attempt fails after the first token.
   */
  deadlineMs: number;
}
