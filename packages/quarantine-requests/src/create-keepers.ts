import { readMonotonicMs } from '@laburnumshift/clock';
import { findFirstMembers } from '@laburnumshift/rank-homes';
import type { Member, Membership, NodeMesh, SuspectNotice } from '@laburnumshift/types';
import type { Keepers } from './keepers.js';
import type { SuspectTables } from './suspect-tables.js';

/** The home and its successor keep a fingerprint. */
const KEEPERS = 2;
/** A live node answers in a few milliseconds; the request waits meanwhile. */
const SEND_TIMEOUT_MS = 200;

/** Creates the sender to the home and the successor of fingerprints; hands over what this node kept when members change. */
export function createKeepers(mesh: NodeMesh, membership: Membership, tables: SuspectTables): Keepers {
  const self = membership.getSelf().host;
  let previous = membership.listLive();

  const rankKeepers = (fingerprint: string, live: readonly Member[]): readonly Member[] =>
    findFirstMembers(fingerprint, live, KEEPERS);

  const sendAll: Keepers['sendAll'] = async (members, type, body) => {
    const others = members.filter((member) => member.host !== self);
    await Promise.all(others.map((member) => mesh.callNode(member.address, type, body, SEND_TIMEOUT_MS)));
  };

  const sendSuspect = async (fingerprint: string): Promise<void> => {
    const entry = tables.suspects.get(fingerprint);
    if (entry === undefined) return;
    const { requestId, host, untilMs } = entry.claim ?? { requestId: '', host: '', untilMs: 0 };
    const leaseMs = untilMs - readMonotonicMs();
    const body: SuspectNotice = {
      ...entry.notice,
      claim: leaseMs > 0 ? { requestId, host, leaseMs } : undefined,
    };
    await sendAll(rankKeepers(fingerprint, membership.listLive()), 'suspect', body);
  };

  const stopWatching = membership.onChange((live) => {
    const isMoved = (fingerprint: string): boolean => {
      const before = rankKeepers(fingerprint, previous).map((member) => member.host);
      const after = rankKeepers(fingerprint, live).map((member) => member.host);
      return before.includes(self) && after.some((host) => !before.includes(host));
    };
    for (const fingerprint of tables.suspects.keys()) {
      if (isMoved(fingerprint)) void sendSuspect(fingerprint);
    }
    for (const [fingerprint, { untilMs }] of tables.convictions) {
      if (isMoved(fingerprint)) {
        void sendAll(rankKeepers(fingerprint, live), 'convict', { fingerprint, untilMs });
      }
    }
    previous = live;
  });

  return {
    listKeepers: (fingerprint) => rankKeepers(fingerprint, membership.listLive()),
    sendSuspect,
    sendAll,
    close: stopWatching,
  };
}
