import type { Waiting } from './waiting.js';

/** The waiting entries of one account in one priority. */
export interface AccountFlow {
  readonly account: string;
  weight: number;
  /** Virtual time at which the account's next entry is due. */
  tag: number;
  /** Tokens of all entries. */
  tokens: number;
  readonly entries: Waiting[];
}
