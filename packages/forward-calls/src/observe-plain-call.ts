import { computeQueueMs } from './compute-queue-ms.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import { NOT_EXECUTED_STATUSES } from './not-executed-statuses.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** A call that a server of a plain service was sent. */
interface SentCall {
  readonly kind: Parameters<ForwarderDependencies['costs']['observeCall']>[0];
  readonly server: string;
  /** Expected time that the call takes at a server of usual speed, milliseconds; `undefined` when it was unknown. */
  readonly costMs: number | undefined;
  /** Expected time to the answer when the server was chosen, milliseconds; 0 when it was unknown. */
  readonly expectedMs: number;
  /** Slowness of the server when the call was sent. */
  readonly slowness: number;
  readonly elapsedMs: number;
}

/** Learns the cost of a call of a plain service from an attempt that was answered; other attempts say nothing about it. */
export function observePlainCall(
  { costs, metrics, serverTracker }: Pick<ForwarderDependencies, 'costs' | 'metrics' | 'serverTracker'>,
  call: SentCall,
  outcome: AttemptOutcome,
): void {
  if (outcome.kind !== 'answered' && outcome.kind !== 'delivered') return;
  const status = outcome.kind === 'answered' ? outcome.head.status : outcome.status;
  if (status >= MIN_SERVER_ERROR_STATUS || NOT_EXECUTED_STATUSES.has(status)) return;
  const state = serverTracker.getState(call.server);
  const slowness = (call.slowness + state.slowness) / 2;
  const queueMs = computeQueueMs(call, state.load, call.slowness);
  if (queueMs === undefined) return;
  const ms = costs.observeCall(call.kind, { elapsedMs: call.elapsedMs, queueMs, slowness });
  if (ms === undefined || call.costMs === undefined) return;
  metrics.recordDuration('call_cost_error_ms', Math.abs(ms - call.costMs), { service: call.kind.service });
}
