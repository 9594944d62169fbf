import type { AccountFlow } from './account-flow.js';
import type { QueuedEntry } from './queued-entry.js';

/** Queue of one priority with start-time fair queueing among its accounts. */
export interface FairQueue {
  readonly addEntry: (queued: QueuedEntry) => void;
  /** Accounts with queued entries, the lowest start tag first. */
  readonly listFlows: () => readonly AccountFlow[];
  /** Removes an entry that goes into service, and charges its tokens to its account. */
  readonly takeEntry: (queued: QueuedEntry) => void;
  /** Removes an entry without charging its account. */
  readonly removeEntry: (queued: QueuedEntry) => void;
}
