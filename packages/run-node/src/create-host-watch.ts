import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import { findFirstMembers } from '@laburnumshift/rank-homes';
import type { HostEntry, Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';
import type { HostWatch } from './host-watch.js';

/**
 * Minimum interval between two reads of the host list by a watcher. It bounds the time to notice a leaving server if the list
 * has at most 100 hosts.
 */
const WATCHER_POLL_MS = 500;
/** Minimum interval of the other nodes. They read the list in case the watchers of their failure domain are silent. */
const NON_WATCHER_POLL_MS = 5_000;
/** Number of nodes that read the list for their failure domain. The second one covers a failure of the first. */
const WATCHER_COUNT = 2;
const RELAY_TIMEOUT_MS = 500;
/**
 * Minimum interval for each listed host. The platform sends the whole list, about 93 bytes per host, so this bounds the
 * traffic of a watcher to 19 KB/s. A list of 13,000 hosts is read every 65 s; nodes then learn of a leaving server earlier
 * from its own load reports and refusals.
 */
const POLL_MS_PER_HOST = 5;
/** Factor on the interval per host for the other nodes, which receive changes from the watchers. */
const NON_WATCHER_FACTOR = 10;

/**
 * Watches the platform's host list and keeps its nodes and its leaving backend servers. Two nodes of each failure domain,
 * the watchers, read the list often and relay changes to the other nodes of the domain. The number of platform calls
 * therefore grows with the number of failure domains and not with the number of nodes.
 */
export function createHostWatch(
  platform: PlatformClient,
  mesh: NodeMesh,
  getMembership: () => Membership | undefined,
  logger: Logger,
): HostWatch {
  const handlers: ((leaving: ReadonlySet<string>) => void)[] = [];
  let hosts: readonly HostEntry[] | undefined;
  let leaving: ReadonlySet<string> = new Set();
  let appliedText = '';
  let listedCount = 0;
  let lastPollMs = -Infinity;

  const applyHosts = (next: readonly HostEntry[]): boolean => {
    const text = JSON.stringify(next);
    if (text === appliedText) return false;
    appliedText = text;
    hosts = next;
    leaving = new Set(next.filter((entry) => entry.state === 'leaving').map((entry) => entry.host));
    for (const handler of handlers) handler(leaving);
    return true;
  };
  const listPeers = (): { readonly watching: boolean; readonly addresses: readonly string[] } => {
    const membership = getMembership();
    if (membership === undefined) return { watching: true, addresses: [] };
    const self = membership.getSelf();
    const domainMembers = membership
      .listLiveMembers()
      .filter((member) => member.failureDomain === self.failureDomain);
    const watchers = findFirstMembers(`hosts/${self.failureDomain}`, domainMembers, WATCHER_COUNT);
    return {
      watching: watchers.some((member) => member.host === self.host),
      addresses: domainMembers.filter((member) => member.host !== self.host).map((member) => member.address),
    };
  };
  const pollHosts = async (): Promise<void> => {
    const { watching, addresses } = listPeers();
    const pauseMs = Math.max(
      watching ? WATCHER_POLL_MS : NON_WATCHER_POLL_MS,
      listedCount * (watching ? 1 : NON_WATCHER_FACTOR) * POLL_MS_PER_HOST,
    );
    // The tolerance of half a timer interval keeps a timer that fires early from skipping a read.
    if (readMonotonicMs() - lastPollMs < pauseMs - WATCHER_POLL_MS / 2) return;
    lastPollMs = readMonotonicMs();
    const all = await platform.listHosts();
    if (all === undefined) return;
    listedCount = all.length;
    const list = all.filter((entry) => entry.kind === 'node' || entry.state === 'leaving');
    if (!applyHosts(list) || !watching) return;
    await Promise.all(addresses.map((address) => mesh.callNode(address, 'hosts', list, RELAY_TIMEOUT_MS)));
  };

  mesh.handleMessage('hosts', (list) => {
    applyHosts(list);
    return Promise.resolve(null);
  });
  const stop = runEvery(WATCHER_POLL_MS, pollHosts, (error) => {
    logger.warn('failed to read the host list', { detail: String(error) });
  });
  return {
    listHosts: () => hosts,
    getLeaving: () => leaving,
    onChange: (handler) => {
      handlers.push(handler);
    },
    close: stop,
  };
}
