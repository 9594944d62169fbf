import type { AccountFlow } from './account-flow.js';
import type { FairQueue } from './fair-queue.js';
import type { QueuedEntry } from './queued-entry.js';

/** Creates an empty queue for one priority. */
export function createFairQueue(): FairQueue {
  const flows = new Map<string, AccountFlow>();
  let virtualTime = 0;

  const removeEntry = (queued: QueuedEntry): AccountFlow | undefined => {
    const flow = flows.get(queued.entry.account);
    const index = flow?.entries.indexOf(queued) ?? -1;
    if (flow === undefined || index < 0) return undefined;
    flow.entries.splice(index, 1);
    flow.tokens -= queued.entry.tokens;
    return flow;
  };
  return {
    addEntry: (queued) => {
      const { account, accountWeight, tokens } = queued.entry;
      const flow = flows.get(account) ?? { account, weight: 1, startTag: 0, tokens: 0, entries: [] };
      flows.set(account, flow);
      // An account that had no queued entries gets no credit for the time without demand.
      if (flow.entries.length === 0) flow.startTag = Math.max(flow.startTag, virtualTime);
      flow.weight = Math.max(accountWeight, Number.EPSILON);
      flow.tokens += tokens;
      flow.entries.push(queued);
    },
    listFlows: () => {
      for (const [account, flow] of flows) {
        if (flow.entries.length === 0 && flow.startTag <= virtualTime) flows.delete(account);
      }
      return [...flows.values()]
        .filter((flow) => flow.entries.length > 0)
        .sort((a, b) => a.startTag - b.startTag);
    },
    takeEntry: (queued) => {
      const flow = removeEntry(queued);
      if (flow === undefined) return;
      virtualTime = Math.max(virtualTime, flow.startTag);
      flow.startTag += queued.entry.tokens / flow.weight;
    },
    removeEntry,
  };
}
