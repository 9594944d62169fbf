/** Intervals and timeouts of the relay, milliseconds. */
export const RELAY_TIMING = {
  /** Pause between two polls of a relay: about the pause between two reads of a store. */
  pollIntervalMs: 400,
  /** A host keeps reading the engines itself for this long after the last request of another host. */
  followerTimeoutMs: 5000,
  /** Wait of a long poll for changed objects. With this wait, long polls confirm a copy about as often as plain polls. */
  objectsLongPollMs: 380,
  /** Delay before pending long polls are answered, so that changes made close together go out in one page. */
  notifyDelayMs: 20,
  /** A host without cache events polls when nothing confirmed for this long that its upstream has no changes. */
  confirmationTimeoutMs: 900,
  /** The last page of a relay is not trusted after this time; the host then reads the engines itself. */
  staleAfterMs: 3000,
} as const;
