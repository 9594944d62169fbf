import type { KnownMember } from './known-member.js';
import type { MemberRecord } from './member-record.js';

/** The members that a node knows, with the rules that order contradicting records. */
export interface MemberTable {
  /** Merges a record received from another node. */
  readonly mergeRecord: (record: MemberRecord) => void;
  /** Starts a suspicion against a member that did not answer. */
  readonly addSuspicion: (host: string, incarnation: number) => void;
  /** Declares members dead whose suspicion has ended and forgets old records. `late` prolongs the suspicions. */
  readonly expireSuspicions: (late: boolean, isCandidate: (address: string) => boolean) => void;
  readonly markLeft: () => void;
  readonly buildSelf: () => MemberRecord;
  readonly find: (host: string) => KnownMember | undefined;
  /** Other members that are alive or under suspicion. */
  readonly listLive: () => readonly KnownMember[];
  readonly listAll: () => readonly KnownMember[];
  /** Record as sent, with the present age of a suspicion. */
  readonly buildRecord: (known: KnownMember) => MemberRecord;
}
