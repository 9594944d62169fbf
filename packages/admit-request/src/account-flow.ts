import type { QueuedEntry } from './queued-entry.js';

/** The queued entries of one account at one priority, with the state that start-time fair queueing keeps for the account. */
export interface AccountFlow {
  readonly account: string;
  /** Share weight of the account, more than 0. */
  weight: number;
  /** Start tag of the account's next entry, in virtual time: tokens served divided by the weight. */
  startTag: number;
  /** Sum of the estimated tokens of all entries. */
  tokens: number;
  /** In order of arrival. */
  readonly entries: QueuedEntry[];
}
