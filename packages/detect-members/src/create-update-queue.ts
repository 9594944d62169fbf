import type { UpdateQueue } from './update-queue.js';

/** A change is sent this many times the base-2 logarithm of the number of members, as is usual for gossip protocols. */
const RETRANSMIT_FACTOR = 3;

/** Creates the queue of changes to disseminate. It has at most one entry per host. */
export function createUpdateQueue(): UpdateQueue {
  const sent = new Map<string, number>();
  return {
    addUpdate: (host) => {
      sent.set(host, 0);
    },
    takeHosts: (limit, members) => {
      const maxSends = RETRANSMIT_FACTOR * Math.ceil(Math.log2(members + 1));
      const hosts = [...sent].sort((a, b) => a[1] - b[1]).slice(0, limit);
      for (const [host, times] of hosts) {
        if (times + 1 >= maxSends) sent.delete(host);
        else sent.set(host, times + 1);
      }
      return hosts.map(([host]) => host);
    },
  };
}
