import type { Member } from './member.js';

/** The live view of the nodes. */
export interface Membership {
  readonly getSelf: () => Member;
  /** Live members, this node included, sorted by host name. */
  readonly listLive: () => readonly Member[];
  readonly onChange: (handler: (live: readonly Member[]) => void) => () => void;
  /** Announces that this node leaves and waits until the others know or 1 s has passed. */
  readonly leave: () => Promise<void>;
  readonly close: () => void;
}
