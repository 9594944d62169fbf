import type { OlderSystemClient, PoolConfig, ServiceConfig, ServingSystem } from '@laburnumshift/types';
import type { CallDependencies } from './call-dependencies.js';
import type { AcceptedCall } from './accepted-call.js';

/** State of one call: its request, the route resolved for it and the progress of its attempts. */
export interface CallState {
  readonly request: AcceptedCall;
  readonly deps: CallDependencies;
  readonly signal: AbortSignal;
  readonly service: ServiceConfig;
  readonly pool: PoolConfig;
  /** Client of the older system; present while the service is being cut over from it. */
  readonly older: OlderSystemClient | undefined;
  /** System that runs this call if its key is new. */
  readonly system: ServingSystem;
  /** Names of the servers that this call must not be sent to again. */
  readonly exclude: Set<string>;
  /** Deadline of the call, monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Number of times that the call was sent to a server of the pool. */
  attempts: number;
  /** True when a byte of the call may have reached a backend server or the older system. */
  sent: boolean;
}
