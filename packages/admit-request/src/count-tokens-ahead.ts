import type { AdmissionEntry } from './admission-entry.js';
import type { FairQueue } from './fair-queue.js';

/**
 * Estimates the tokens that are served before an entry that arrives now: all queued tokens of higher priorities, the
 * account's own at the same priority, and those of the other accounts there in proportion to their weights, at most what each has
 * queued.
 *
 * @param queues one queue for each priority, urgent first
 * @param level index of the entry's priority in `queues`
 */
export function countTokensAhead(
  queues: readonly FairQueue[],
  level: number,
  entry: Pick<AdmissionEntry, 'account' | 'accountWeight' | 'tokens'>,
): number {
  let ahead = 0;
  for (const queue of queues.slice(0, level)) {
    for (const flow of queue.listFlows()) ahead += flow.tokens;
  }
  const flows = queues[level]?.listFlows() ?? [];
  const ownTokens = flows.find((flow) => flow.account === entry.account)?.tokens ?? 0;
  const ownTokensPerWeight = (ownTokens + entry.tokens) / entry.accountWeight;
  for (const flow of flows) {
    ahead +=
      flow.account === entry.account ? ownTokens : Math.min(flow.tokens, ownTokensPerWeight * flow.weight);
  }
  return ahead;
}
