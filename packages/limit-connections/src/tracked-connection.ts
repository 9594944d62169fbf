/** One connection of a caller, as the guard accounts for it. */
export interface TrackedConnection {
  /** Takes a request into account; false when there is no room for its call, which is then not taken into account. */
  readonly beginCall: () => boolean;
  /** Notes that the request of the newest call has arrived in whole. */
  readonly markWhole: () => void;
  readonly endCall: () => void;
  /** Sets how many bytes of answers wait for the caller to read them; 0 when it has read all. */
  readonly setUnreadBytes: (bytes: number) => void;
  /** Notes that the connection has closed; further calls change nothing. */
  readonly close: () => void;
}
