import type { ReceivedMessage } from './received-message.js';
import type { LoadMessage } from './load-message.js';

/** Newest message of each kind from each host. */
export interface MessageTable {
  /**
   * Adds a message.
   *
   * @returns `old` when a newer or the same message is known, and nothing was changed; `new` for the first message of a process of the
   *   host; `next` for any other
   */
  readonly addMessage: (message: LoadMessage) => 'old' | 'new' | 'next';
  /** Lists the messages of a kind that were received within the last 1.5 seconds, newest first. */
  readonly listCurrent: (kind: LoadMessage[0]) => ReceivedMessage[];
}
