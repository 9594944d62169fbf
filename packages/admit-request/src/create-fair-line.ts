import type { AccountFlow } from './account-flow.js';
import type { FairLine } from './fair-line.js';
import type { Waiting } from './waiting.js';

/** Creates the line of one priority. */
export function createFairLine(): FairLine {
  const flows = new Map<string, AccountFlow>();
  let virtualTime = 0;

  const removeWaiting = (waiting: Waiting): AccountFlow | undefined => {
    const flow = flows.get(waiting.entry.account);
    const index = flow?.entries.indexOf(waiting) ?? -1;
    if (flow === undefined || index < 0) return undefined;
    flow.entries.splice(index, 1);
    flow.tokens -= waiting.entry.tokens;
    return flow;
  };
  return {
    addWaiting: (waiting) => {
      const { account, accountWeight, tokens } = waiting.entry;
      const flow = flows.get(account) ?? { account, weight: 1, tag: 0, tokens: 0, entries: [] };
      flows.set(account, flow);
      // An account that had nothing waiting gains no credit for the time without demand.
      if (flow.entries.length === 0) flow.tag = Math.max(flow.tag, virtualTime);
      flow.weight = Math.max(accountWeight, Number.EPSILON);
      flow.tokens += tokens;
      flow.entries.push(waiting);
    },
    listFlows: () => {
      for (const [account, flow] of flows) {
        if (flow.entries.length === 0 && flow.tag <= virtualTime) flows.delete(account);
      }
      return [...flows.values()].filter((flow) => flow.entries.length > 0).sort((a, b) => a.tag - b.tag);
    },
    takeWaiting: (waiting) => {
      const flow = removeWaiting(waiting);
      if (flow === undefined) return;
      virtualTime = Math.max(virtualTime, flow.tag);
      flow.tag += waiting.entry.tokens / flow.weight;
    },
    removeWaiting,
  };
}
