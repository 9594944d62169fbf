import type { Member } from './member.js';

/** The nodes that are currently considered live. */
export interface Membership {
  readonly getSelf: () => Member;
  /** Live members, this node included, sorted by host name. */
  readonly listLiveMembers: () => readonly Member[];
  /** Calls the handler after each change of the live members; the returned function removes the handler. */
  readonly onChange: (handler: (live: readonly Member[]) => void) => () => void;
  /** Announces that this node leaves; resolves when the other nodes know it, or after 1 s. */
  readonly leave: () => Promise<void>;
  readonly close: () => void;
}
