import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import { findFirstMembers } from '@laburnumshift/rank-homes';
import type { HostEntry, Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';
import type { HostWatch } from './host-watch.js';

/** Pause between two reads of the host list by a watching node; a leaving server is noticed within it. */
const WATCHER_POLL_MS = 500;
/** Pause of the other nodes, in case that the watchers of their failure domain are silent. */
const POLL_MS = 5_000;
/** Nodes that read the list for their failure domain; the second covers the first's failure. */
const WATCHERS = 2;
const RELAY_TIMEOUT_MS = 500;
/**
 * The platform sends the whole list, about 93 bytes a host. Each host in it adds so much to the pause, which keeps the
 * reading of a watcher below 19 KB/s; a list of 13,000 hosts is read every 65 s. Leaving servers are then noticed by
 * their own reports and refusals.
 */
const ENTRY_MS = 5;
/** The other nodes hear of changes from the watchers, so they read a long list so many times less often. */
const OTHERS = 10;

/**
 * Follows the platform's list of hosts: the nodes, and the backend servers that are leaving. Two nodes of each failure domain read it often and relay changes to the other
 * nodes of the domain, so that the calls grow with domains and not with nodes.
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
  let shown = '';
  let listed = 0;
  let polledMs = -Infinity;

  const applyHosts = (next: readonly HostEntry[]): boolean => {
    const text = JSON.stringify(next);
    if (text === shown) return false;
    shown = text;
    hosts = next;
    leaving = new Set(next.filter((entry) => entry.state === 'leaving').map((entry) => entry.host));
    for (const handler of handlers) handler(leaving);
    return true;
  };
  const listPeers = (): { readonly watching: boolean; readonly addresses: readonly string[] } => {
    const membership = getMembership();
    if (membership === undefined) return { watching: true, addresses: [] };
    const self = membership.getSelf();
    const near = membership.listLiveMembers().filter((member) => member.failureDomain === self.failureDomain);
    const watchers = findFirstMembers(`hosts/${self.failureDomain}`, near, WATCHERS);
    return {
      watching: watchers.some((member) => member.host === self.host),
      addresses: near.filter((member) => member.host !== self.host).map((member) => member.address),
    };
  };
  const pollHosts = async (): Promise<void> => {
    const { watching, addresses } = listPeers();
    const pauseMs = Math.max(
      watching ? WATCHER_POLL_MS : POLL_MS,
      listed * (watching ? 1 : OTHERS) * ENTRY_MS,
    );
    // Half of a tick, so that a timer that fires early does not skip a turn.
    if (readMonotonicMs() - polledMs < pauseMs - WATCHER_POLL_MS / 2) return;
    polledMs = readMonotonicMs();
    const all = await platform.listHosts();
    if (all === undefined) return;
    listed = all.length;
    const list = all.filter((entry) => entry.kind === 'node' || entry.state === 'leaving');
    if (!applyHosts(list) || !watching) return;
    await Promise.all(addresses.map((address) => mesh.callNode(address, 'hosts', list, RELAY_TIMEOUT_MS)));
  };

  mesh.handleMessage('hosts', (list) => {
    applyHosts(list);
    return Promise.resolve(null);
  });
  const stop = runEvery(WATCHER_POLL_MS, pollHosts, (error) => {
    logger.warn('could not read the host list', { detail: String(error) });
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
