/** Hosts whose changed records are piggybacked on messages. */
export interface UpdateQueue {
  readonly add: (host: string) => void;
  /** Hosts for the next message, the least often sent first. */
  readonly takeHosts: (limit: number, members: number) => readonly string[];
}
