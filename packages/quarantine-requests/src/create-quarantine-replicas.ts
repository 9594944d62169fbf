import { readMonotonicMs } from '@laburnumshift/clock';
import { findFirstMembers } from '@laburnumshift/rank-homes';
import type { Member, Membership, NodeMesh, SuspectNotice } from '@laburnumshift/types';
import type { QuarantineReplicas } from './quarantine-replicas.js';
import type { QuarantineTables } from './quarantine-tables.js';

/** The home of a fingerprint and its successor hold the replicas. */
const REPLICA_COUNT = 2;
/** Kept short because the request waits for the answer, which a live node sends within a few milliseconds. */
const SEND_TIMEOUT_MS = 200;

/**
 * Creates the replication to the home and the successor of each fingerprint. When the live members change, this node sends the
 * entries that it held as a replica to the new replicas.
 */
export function createQuarantineReplicas(
  mesh: NodeMesh,
  membership: Membership,
  tables: QuarantineTables,
): QuarantineReplicas {
  const self = membership.getSelf().host;
  let previousLive = membership.listLiveMembers();

  const findReplicas = (fingerprint: string, live: readonly Member[]): readonly Member[] =>
    findFirstMembers(fingerprint, live, REPLICA_COUNT);

  const sendAll: QuarantineReplicas['sendAll'] = async (members, type, body) => {
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
    await sendAll(findReplicas(fingerprint, membership.listLiveMembers()), 'suspect', body);
  };

  const stopWatching = membership.onChange((live) => {
    const hasNewReplica = (fingerprint: string): boolean => {
      const before = findReplicas(fingerprint, previousLive).map((member) => member.host);
      const after = findReplicas(fingerprint, live).map((member) => member.host);
      return before.includes(self) && after.some((host) => !before.includes(host));
    };
    for (const fingerprint of tables.suspects.keys()) {
      if (hasNewReplica(fingerprint)) void sendSuspect(fingerprint);
    }
    for (const [fingerprint, { untilMs }] of tables.convictions) {
      if (hasNewReplica(fingerprint)) {
        void sendAll(findReplicas(fingerprint, live), 'convict', { fingerprint, untilMs });
      }
    }
    previousLive = live;
  });

  return {
    listReplicas: (fingerprint) => findReplicas(fingerprint, membership.listLiveMembers()),
    sendSuspect,
    sendAll,
    close: stopWatching,
  };
}
