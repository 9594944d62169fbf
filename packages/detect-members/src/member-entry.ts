import type { MemberRecord } from './member-record.js';

/** Entry of another member in a node's member table. */
export interface MemberEntry {
  record: MemberRecord;
  /** Position in the probe ring: a hash of the host name. */
  readonly ringPosition: number;
  /** Monotonic time of the last change of state, milliseconds. */
  stateSinceMs: number;
  /** Monotonic time at which a suspected member is declared dead, milliseconds; unused in other states. */
  suspicionDeadlineMs: number;
}
