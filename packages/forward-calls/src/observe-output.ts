import type { ForwarderDependencies } from './forwarder-dependencies.js';

/** The output of a stream that was delivered whole, and what was expected of it. */
interface DeliveredOutput {
  readonly kind: Parameters<ForwarderDependencies['costs']['observeOutput']>[0];
  /** The caller's estimate, tokens. */
  readonly hintTokens: number;
  /** The corrected estimate, tokens. */
  readonly expectedTokens: number;
  /** Id of the last event; events of engines are numbered. */
  readonly lastEventId: string | undefined;
}

const NUMBER_PATTERN = /^\d{1,7}$/;

/** Learns the output length of a delivered stream. Event ids that are no plain numbers say nothing about it. */
export function observeOutput(
  { costs, metrics }: Pick<ForwarderDependencies, 'costs' | 'metrics'>,
  { kind, hintTokens, expectedTokens, lastEventId = '' }: DeliveredOutput,
): void {
  if (!NUMBER_PATTERN.test(lastEventId)) return;
  const outputTokens = Number(lastEventId);
  costs.observeOutput(kind, hintTokens, outputTokens);
  metrics.addToCounter('expected_output_tokens_total', { route: kind.route }, Math.round(expectedTokens));
  metrics.addToCounter('delivered_events_total', { route: kind.route }, outputTokens);
}
