import type { UpdateQueue } from './update-queue.js';

/** A change is sent this many times the logarithm of the number of members, as usual for epidemic spreading. */
const SPREAD_FACTOR = 3;

/** Creates the queue of changes to pass on. It holds one entry a host. */
export function createUpdateQueue(): UpdateQueue {
  const sent = new Map<string, number>();
  return {
    add: (host) => {
      sent.set(host, 0);
    },
    takeHosts: (limit, members) => {
      const most = SPREAD_FACTOR * Math.ceil(Math.log2(members + 1));
      const hosts = [...sent].sort((a, b) => a[1] - b[1]).slice(0, limit);
      for (const [host, times] of hosts) {
        if (times + 1 >= most) sent.delete(host);
        else sent.set(host, times + 1);
      }
      return hosts.map(([host]) => host);
    },
  };
}
