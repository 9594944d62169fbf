import type { MemberEntry } from './member-entry.js';
import type { MemberRecord } from './member-record.js';

/**
 * Members that a node knows. Of two records of a member the one with the higher incarnation wins, then the one with the higher
 * refutation count, then the state that comes later in the order alive, suspect, dead, left.
 */
export interface MemberTable {
  /** Merges a record received from another node. A suspicion of this node itself is refuted. */
  readonly mergeRecord: (record: MemberRecord) => void;
  /** Marks a member that did not answer as suspect, if it is still alive with the same incarnation. */
  readonly addSuspicion: (host: string, incarnation: number) => void;
  /**
   * Declares suspected members dead at their deadline and removes old records.
   *
   * @param late true after a pause of this process; all suspicions get the full time for a refutation again
   * @param isCandidate returns true while the host list or the seeds contain an address; such a dead member is kept
   */
  readonly expireSuspicions: (late: boolean, isCandidate: (address: string) => boolean) => void;
  /** Marks this node as left. */
  readonly markLeft: () => void;
  /** Builds the record of this node. */
  readonly buildSelf: () => MemberRecord;
  /** Finds another member by its host name. */
  readonly findMember: (host: string) => MemberEntry | undefined;
  /** Other members that are alive or suspect. */
  readonly listLive: () => readonly MemberEntry[];
  /** Other members in any state. */
  readonly listAll: () => readonly MemberEntry[];
  /** Builds the record to send, with the current age of a suspicion. */
  readonly buildRecord: (known: MemberEntry) => MemberRecord;
}
