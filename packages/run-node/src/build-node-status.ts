import type { NodeParts } from './node-parts.js';

/** Builds what this node tells operators about itself. Holds no account names and no prompt text. */
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
    members: membership.listLive().map((member) => member.host),
    platformSilenceMs: Math.round(platform.getSilenceMs()),
    platformCalls: platform.getCounts(),
    mesh: mesh.getCounts(),
    runs: registry.getCounts(),
    cells: homes.listStatus(),
    leases: parts.orders.listHeld(),
    services: servers.listStatus(),
    leaving: [...hostWatch.getLeaving()],
  };
}
