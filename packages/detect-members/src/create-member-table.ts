import { readMonotonicMs } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { Member } from '@laburnumshift/types';
import type { MemberEntry } from './member-entry.js';
import type { MemberRecord } from './member-record.js';
import type { MemberTable } from './member-table.js';
import type { FailureDetectorTiming } from './failure-detector-timing.js';

/** Time since its death after which a member that the host list does not contain is removed from the table. */
const DEAD_RECORD_TTL_MS = 600_000;
/** Time for which the record of a member that left is kept; longer than nodes pass on any of its records. */
const LEFT_RECORD_TTL_MS = 60_000;
const STATE_PRECEDENCE = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/**
 * Creates the member table of a node. The state `dead` is never accepted from another node. It starts a suspicion instead, so
 * that a member falsely declared dead on the other side of a network partition can refute it before this side removes it from
 * routing.
 *
 * @param onUpdate called with each host whose changed record is to be disseminated; `urgent` is false when it was declared
 * dead
 */
export function createMemberTable(
  self: Member,
  timing: FailureDetectorTiming,
  onUpdate: (host: string, urgent: boolean) => void,
): MemberTable {
  const logger = createLogger('members');
  const members = new Map<string, MemberEntry>();
  let refutation = 0;
  let left = false;

  const buildSelf = (): MemberRecord => ({
    ...self,
    refutation,
    state: left ? 'left' : 'alive',
    ageMs: 0,
  });
  const setRecord = (record: MemberRecord, suspicionDeadlineMs: number): void => {
    const known = members.get(record.host);
    const now = readMonotonicMs();
    if (known === undefined) {
      const ringPosition = computeRendezvousWeight('probe-ring', record.host);
      members.set(record.host, { record, ringPosition, stateSinceMs: now, suspicionDeadlineMs });
    } else {
      if (known.record.state !== record.state) known.stateSinceMs = now;
      known.record = record;
      known.suspicionDeadlineMs = suspicionDeadlineMs;
    }
    onUpdate(record.host, record.state !== 'dead');
  };
  const mergeSelf = (record: MemberRecord): void => {
    if (record.incarnation > self.incarnation) {
      logger.error('another process uses the host name of this node', { host: self.host });
    }
    const isCurrent = record.incarnation === self.incarnation && record.refutation >= refutation;
    if (!isCurrent || record.state === 'alive' || left) return;
    refutation = record.refutation + 1;
    onUpdate(self.host, true);
  };
  /**
   * Computes the monotonic time at which a suspicion from a received record ends. A received `dead` leaves half of the usual
   * time for a refutation, because most nodes already know of the suspicion.
   */
  const computeSuspicionDeadline = (record: MemberRecord): number => {
    const minMs = timing.suspicionTimeoutMs / 2;
    const remainingMs = record.state === 'suspect' ? timing.suspicionTimeoutMs - record.ageMs : minMs;
    return readMonotonicMs() + Math.max(minMs, remainingMs);
  };

  return {
    mergeRecord: (received) => {
      if (received.host === self.host) {
        mergeSelf(received);
        return;
      }
      const known = members.get(received.host);
      const record: MemberRecord = received.state === 'dead' ? { ...received, state: 'suspect' } : received;
      if (known === undefined) {
        if (received.state !== 'dead') setRecord(record, computeSuspicionDeadline(received));
        return;
      }
      const versionOrder =
        record.incarnation - known.record.incarnation || record.refutation - known.record.refutation;
      if (versionOrder < 0) return;
      if (versionOrder === 0 && STATE_PRECEDENCE[record.state] <= STATE_PRECEDENCE[known.record.state])
        return;
      if (versionOrder > 0 && received.state === 'dead' && known.record.state === 'dead') {
        setRecord(received, 0);
        return;
      }
      setRecord(record, computeSuspicionDeadline(received));
    },
    addSuspicion: (host, incarnation) => {
      const known = members.get(host);
      if (known?.record.state !== 'alive' || known.record.incarnation !== incarnation) return;
      setRecord({ ...known.record, state: 'suspect' }, readMonotonicMs() + timing.suspicionTimeoutMs);
    },
    expireSuspicions: (late, isCandidate) => {
      const now = readMonotonicMs();
      for (const [host, known] of members) {
        const { state, address } = known.record;
        if (state === 'suspect') {
          if (late)
            known.suspicionDeadlineMs = Math.max(known.suspicionDeadlineMs, now + timing.suspicionTimeoutMs);
          if (known.suspicionDeadlineMs > now) continue;
          logger.info('declared a member dead', { host });
          setRecord({ ...known.record, state: 'dead' }, 0);
        }
        const ttlMs = state === 'dead' ? DEAD_RECORD_TTL_MS : LEFT_RECORD_TTL_MS;
        const isRemovable = state === 'left' || (state === 'dead' && !isCandidate(address));
        if (isRemovable && now - known.stateSinceMs > ttlMs) members.delete(host);
      }
    },
    markLeft: () => {
      left = true;
      refutation += 1;
      onUpdate(self.host, true);
    },
    buildSelf,
    findMember: (host) => members.get(host),
    listLive: () =>
      [...members.values()].filter((m) => m.record.state === 'alive' || m.record.state === 'suspect'),
    listAll: () => [...members.values()],
    buildRecord: (known) => {
      if (known.record.state !== 'suspect') return known.record;
      const ageMs = timing.suspicionTimeoutMs - (known.suspicionDeadlineMs - readMonotonicMs());
      return { ...known.record, ageMs: Math.max(0, Math.round(ageMs)) };
    },
  };
}
