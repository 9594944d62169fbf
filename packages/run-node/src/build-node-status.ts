import type { NodeParts } from './node-parts.js';

/**
 * Lists, as `pool/cell`, the cells for which this node is first in rendezvous order. The node may also keep other cells open
 * that requests named.
 */
function listCellHomes({ homes, placer, configWatch, mesh }: NodeParts): readonly string[] {
  return homes.listStatus().flatMap(({ pool, cell }) => {
    const config = configWatch.getConfig()?.pools[pool];
    const isHome = config !== undefined && placer.findHome(config, cell) === mesh.getAddress();
    return isHome ? [`${pool}/${String(cell)}`] : [];
  });
}

/** Builds the status that this node shows to operators. It holds no account names and no prompt text. */
export function buildNodeStatus(parts: NodeParts): Readonly<Record<string, unknown>> {
  const { membership, configWatch, homes, hostWatch, servers, platform, registry, mesh } = parts;
  const self = membership.getSelf();
  return {
    host: self.host,
    failureDomain: self.failureDomain,
    address: self.address,
    incarnation: self.incarnation,
    generation: configWatch.getConfig()?.generation ?? 0,
    stale: configWatch.isStale(),
    members: membership.listLiveMembers().map((member) => member.host),
    platformSilenceMs: Math.round(platform.getSilenceMs()),
    platformCalls: platform.getCounts(),
    mesh: mesh.getCounts(),
    runs: registry.getCounts(),
    cells: homes.listStatus(),
    cellHomes: listCellHomes(parts),
    leases: parts.orders.listHeld(),
    services: servers.listStatus(),
    leaving: [...hostWatch.getLeaving()],
  };
}
