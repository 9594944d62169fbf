import type { TrackedConnection } from './tracked-connection.js';

/** Accounts for the connections of all callers. */
export interface ConnectionGuard {
  /**
   * Takes a new connection into account, and closes others for it when there is no room.
   *
   * @param onClose called with one of `CLOSE_REASONS` when the connection has to be closed to make room
   * @returns `undefined` when there is no room for it
   */
  readonly openConnection: (onClose: (reason: string) => void) => TrackedConnection | undefined;
  readonly countConnections: () => number;
  /** Returns the estimated memory of connections, calls and unread answers, bytes. */
  readonly countBytes: () => number;
}
