import type { Member, NodeMessages } from '@laburnumshift/types';

/** Replicates suspects and convictions to the home of their fingerprint and its successor. */
export interface QuarantineReplicas {
  /** Returns the home of a fingerprint and its successor, the home first. */
  readonly listReplicas: (fingerprint: string) => readonly Member[];
  /** Sends a suspect with its claim to its replicas and waits for their answers; does nothing when this node has no such suspect. */
  readonly sendSuspect: (fingerprint: string) => Promise<void>;
  /** Sends a message to the given nodes except this one, and waits for their answers or timeouts. */
  readonly sendAll: <T extends 'suspect' | 'convict' | 'clear'>(
    members: readonly Member[],
    type: T,
    body: NodeMessages[T]['body'],
  ) => Promise<void>;
  /** Stops watching the live members. */
  readonly close: () => void;
}
