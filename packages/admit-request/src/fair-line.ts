import type { AccountFlow } from './account-flow.js';
import type { Waiting } from './waiting.js';

/** Start-time fair queueing among the accounts of one priority. */
export interface FairLine {
  readonly addWaiting: (waiting: Waiting) => void;
  /** Flows with entries, the next due first. */
  readonly listFlows: () => readonly AccountFlow[];
  /** Takes an entry into service and charges its account. */
  readonly takeWaiting: (waiting: Waiting) => void;
  /** Removes an entry without charge. */
  readonly removeWaiting: (waiting: Waiting) => void;
}
