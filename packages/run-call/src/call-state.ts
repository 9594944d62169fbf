import type { OlderSystemClient, PoolConfig, ServiceConfig, System } from '@laburnumshift/types';
import type { CallDependencies } from './call-dependencies.js';
import type { CallJob } from './call-job.js';

/** One call with what was found for it. */
export interface CallState {
  readonly job: CallJob;
  readonly deps: CallDependencies;
  readonly signal: AbortSignal;
  readonly service: ServiceConfig;
  readonly pool: PoolConfig;
  /** Present when the service is in a cutover. */
  readonly older: OlderSystemClient | undefined;
  /** System that takes a new call. */
  readonly system: System;
  /** Servers not to be asked again. */
  readonly exclude: Set<string>;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  attempts: number;
  /** True when a byte may have reached a backend server. */
  sent: boolean;
}
