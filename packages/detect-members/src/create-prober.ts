import { readMonotonicMs } from '@laburnumshift/clock';
import type { DetectMembersOptions } from './detect-members-options.js';
import { GOSSIP_SCHEMA } from './gossip-schema.js';
import type { Gossip } from './gossip.js';
import type { MemberTable } from './member-table.js';
import type { FailureDetectorTiming } from './failure-detector-timing.js';
import type { MemberRecord } from './member-record.js';
import type { Prober } from './prober.js';

/**
 * A probe that ends this long after its timeouts was delayed by a pause of this process, so it does not show that the probed
 * member failed.
 */
const PROCESS_PAUSE_MS = 250;

/**
 * Creates the prober of a node.
 *
 * @param buildGossip builds the body of a message to the given host; the host is `undefined` when not known
 * @param pickProxies picks other members that send indirect probes; they exclude the given host
 */
export function createProber(
  mesh: DetectMembersOptions['mesh'],
  table: MemberTable,
  timing: FailureDetectorTiming,
  buildGossip: (host: string | undefined) => Gossip,
  pickProxies: (exclude: string) => readonly MemberRecord[],
): Prober {
  const sendProbe: Prober['sendProbe'] = async (address, host, timeoutMs) => {
    const reply = await mesh.callNode(address, 'probe', buildGossip(host), timeoutMs);
    const gossip = reply.ok ? GOSSIP_SCHEMA.safeParse(reply.value).data : undefined;
    for (const record of gossip?.records ?? []) table.mergeRecord(record);
    return gossip?.records[0]?.host;
  };
  const askProxy = async (proxy: MemberRecord, target: MemberRecord): Promise<boolean> => {
    const body = { ...buildGossip(proxy.host), target: target.address };
    const reply = await mesh.callNode(proxy.address, 'probe-for', body, timing.indirectProbeTimeoutMs);
    const gossip = reply.ok ? GOSSIP_SCHEMA.safeParse(reply.value).data : undefined;
    for (const record of gossip?.records ?? []) table.mergeRecord(record);
    return gossip?.reached === target.host;
  };
  return {
    sendProbe,
    probeMember: async (target) => {
      const startMs = readMonotonicMs();
      if ((await sendProbe(target.address, target.host, timing.directProbeTimeoutMs)) === target.host) return;
      const proxies = pickProxies(target.host);
      const reached = await Promise.all(proxies.map((proxy) => askProxy(proxy, target)));
      if (reached.includes(true)) return;
      if (
        readMonotonicMs() - startMs >
        timing.directProbeTimeoutMs + timing.indirectProbeTimeoutMs + PROCESS_PAUSE_MS
      )
        return;
      table.addSuspicion(target.host, target.incarnation);
    },
  };
}
