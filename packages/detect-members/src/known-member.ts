import type { MemberRecord } from './member-record.js';

/** A member as a node knows it. */
export interface KnownMember {
  record: MemberRecord;
  /** Place in the probe ring. */
  readonly weight: number;
  /** Monotonic time of the last change of state. */
  sinceMs: number;
  /** Monotonic time at which a suspicion ends with the declaration of death. */
  deadlineMs: number;
}
