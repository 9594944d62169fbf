import { readMonotonicMs } from '@laburnumshift/clock';
import type { DetectMembersOptions } from './detect-members-options.js';
import { GOSSIP_SCHEMA } from './gossip-schema.js';
import type { Gossip } from './gossip.js';
import type { MemberTable } from './member-table.js';
import type { MemberTiming } from './member-timing.js';
import type { MemberRecord } from './member-record.js';
import type { Prober } from './prober.js';

/** A verdict that comes this much too late was delayed by a pause of this process, and says nothing of the other. */
const PAUSE_MS = 250;

/**
 * Creates the sender of membership messages.
 *
 * @param buildGossip records for a message to the given host
 * @param pickHelpers other members for indirect probes
 */
export function createProber(
  mesh: DetectMembersOptions['mesh'],
  table: MemberTable,
  timing: MemberTiming,
  buildGossip: (host: string | undefined) => Gossip,
  pickHelpers: (exclude: string) => readonly MemberRecord[],
): Prober {
  const sendProbe: Prober['sendProbe'] = async (address, host, timeoutMs) => {
    const reply = await mesh.callNode(address, 'probe', buildGossip(host), timeoutMs);
    const gossip = reply.ok ? GOSSIP_SCHEMA.safeParse(reply.value).data : undefined;
    for (const record of gossip?.records ?? []) table.mergeRecord(record);
    return gossip?.records[0]?.host;
  };
  const askHelper = async (helper: MemberRecord, target: MemberRecord): Promise<boolean> => {
    const body = { ...buildGossip(helper.host), target: target.address };
    const reply = await mesh.callNode(helper.address, 'probe-for', body, timing.indirectMs);
    const gossip = reply.ok ? GOSSIP_SCHEMA.safeParse(reply.value).data : undefined;
    for (const record of gossip?.records ?? []) table.mergeRecord(record);
    return gossip?.reached === target.host;
  };
  return {
    sendProbe,
    probeMember: async (target) => {
      const startMs = readMonotonicMs();
      if ((await sendProbe(target.address, target.host, timing.directMs)) === target.host) return;
      const helpers = pickHelpers(target.host);
      const reached = await Promise.all(helpers.map((helper) => askHelper(helper, target)));
      if (reached.includes(true)) return;
      if (readMonotonicMs() - startMs > timing.directMs + timing.indirectMs + PAUSE_MS) return;
      table.addSuspicion(target.host, target.incarnation);
    },
  };
}
