import { readMonotonicMs } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { Member } from '@laburnumshift/types';
import type { KnownMember } from './known-member.js';
import type { MemberRecord } from './member-record.js';
import type { MemberTable } from './member-table.js';
import type { MemberTiming } from './member-timing.js';

/** Records of dead members that the host list no longer has are kept this long. */
const FORGET_DEAD_MS = 600_000;
/** Longer than any record of the member stays in circulation. */
const FORGET_LEFT_MS = 60_000;
const STATE_RANK = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/**
 * Creates the table of a node. `dead` is never taken over from another node: it starts a suspicion here, so that a
 * member falsely declared dead on the other side of a split can refute it before it leaves the routes on this side.
 *
 * @param onUpdate called with each host whose record changed and shall be passed on
 */
export function createMemberTable(
  self: Member,
  timing: MemberTiming,
  onUpdate: (host: string, urgent: boolean) => void,
): MemberTable {
  const logger = createLogger('members');
  const members = new Map<string, KnownMember>();
  let refutation = 0;
  let left = false;

  const buildSelf = (): MemberRecord => ({
    ...self,
    refutation,
    state: left ? 'left' : 'alive',
    ageMs: 0,
  });
  const setRecord = (record: MemberRecord, deadlineMs: number): void => {
    const known = members.get(record.host);
    const now = readMonotonicMs();
    if (known === undefined) {
      const weight = computeRendezvousWeight('probe-ring', record.host);
      members.set(record.host, { record, weight, sinceMs: now, deadlineMs });
    } else {
      if (known.record.state !== record.state) known.sinceMs = now;
      known.record = record;
      known.deadlineMs = deadlineMs;
    }
    onUpdate(record.host, record.state !== 'dead');
  };
  const mergeSelf = (record: MemberRecord): void => {
    if (record.incarnation > self.incarnation) {
      logger.error('another process uses the host name of this node', { host: self.host });
    }
    const current = record.incarnation === self.incarnation && record.refutation >= refutation;
    if (!current || record.state === 'alive' || left) return;
    refutation = record.refutation + 1;
    onUpdate(self.host, true);
  };
  /** A received `dead` leaves half of the time to refute: the suspicion is known to most already. */
  const computeDeadline = (record: MemberRecord): number => {
    const leastMs = timing.suspectMs / 2;
    const restMs = record.state === 'suspect' ? timing.suspectMs - record.ageMs : leastMs;
    return readMonotonicMs() + Math.max(leastMs, restMs);
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
        if (received.state !== 'dead') setRecord(record, computeDeadline(received));
        return;
      }
      const newer =
        record.incarnation - known.record.incarnation || record.refutation - known.record.refutation;
      if (newer < 0) return;
      if (newer === 0 && STATE_RANK[record.state] <= STATE_RANK[known.record.state]) return;
      if (newer > 0 && received.state === 'dead' && known.record.state === 'dead') {
        setRecord(received, 0);
        return;
      }
      setRecord(record, computeDeadline(received));
    },
    addSuspicion: (host, incarnation) => {
      const known = members.get(host);
      if (known?.record.state !== 'alive' || known.record.incarnation !== incarnation) return;
      setRecord({ ...known.record, state: 'suspect' }, readMonotonicMs() + timing.suspectMs);
    },
    expireSuspicions: (late, isCandidate) => {
      const now = readMonotonicMs();
      for (const [host, known] of members) {
        const { state, address } = known.record;
        if (state === 'suspect') {
          if (late) known.deadlineMs = Math.max(known.deadlineMs, now + timing.suspectMs);
          if (known.deadlineMs > now) continue;
          logger.info('declares a member dead', { host });
          setRecord({ ...known.record, state: 'dead' }, 0);
        }
        const keepMs = state === 'dead' ? FORGET_DEAD_MS : FORGET_LEFT_MS;
        const ended = state === 'left' || (state === 'dead' && !isCandidate(address));
        if (ended && now - known.sinceMs > keepMs) members.delete(host);
      }
    },
    markLeft: () => {
      left = true;
      refutation += 1;
      onUpdate(self.host, true);
    },
    buildSelf,
    find: (host) => members.get(host),
    listLive: () =>
      [...members.values()].filter((m) => m.record.state === 'alive' || m.record.state === 'suspect'),
    listAll: () => [...members.values()],
    buildRecord: (known) => {
      if (known.record.state !== 'suspect') return known.record;
      const ageMs = timing.suspectMs - (known.deadlineMs - readMonotonicMs());
      return { ...known.record, ageMs: Math.max(0, Math.round(ageMs)) };
    },
  };
}
