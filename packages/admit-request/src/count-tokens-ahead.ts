import type { AdmissionEntry } from './admission-entry.js';
import type { FairLine } from './fair-line.js';

/**
 * Counts the tokens that are served before an entry that arrives now. In its own priority each other account is served
 * in proportion to its weight, at most what it has waiting.
 *
 * @param lines lines by priority, urgent first
 */
export function countTokensAhead(
  lines: readonly FairLine[],
  level: number,
  entry: Pick<AdmissionEntry, 'account' | 'accountWeight' | 'tokens'>,
): number {
  let ahead = 0;
  for (const line of lines.slice(0, level)) {
    for (const flow of line.listFlows()) ahead += flow.tokens;
  }
  const flows = lines[level]?.listFlows() ?? [];
  const own = flows.find((flow) => flow.account === entry.account)?.tokens ?? 0;
  const turns = (own + entry.tokens) / entry.accountWeight;
  for (const flow of flows) {
    ahead += flow.account === entry.account ? own : Math.min(flow.tokens, turns * flow.weight);
  }
  return ahead;
}
