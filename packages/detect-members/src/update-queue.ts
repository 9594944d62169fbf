/** Hosts whose changed records are piggybacked on probe messages. */
export interface UpdateQueue {
  /** Adds a host whose record changed, or resets its send count. */
  readonly addUpdate: (host: string) => void;
  /**
   * Takes up to `limit` hosts for the next message, those sent least often first. A host is removed after it was sent often
   * enough to reach all members with high probability.
   *
   * @param members number of live members
   */
  readonly takeHosts: (limit: number, members: number) => readonly string[];
}
