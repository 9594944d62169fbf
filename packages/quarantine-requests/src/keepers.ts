import type { Member, NodeMessages } from '@laburnumshift/types';

/** Sends what this node knows of fingerprints to their home and its successor, which keep it. */
export interface Keepers {
  /** The home and its successor. */
  readonly listKeepers: (fingerprint: string) => readonly Member[];
  /** Sends a suspect with its claim to the keepers, and waits for them. */
  readonly sendSuspect: (fingerprint: string) => Promise<void>;
  /** Sends a message to some nodes, this one excluded, and waits for them. */
  readonly sendAll: <T extends 'suspect' | 'convict' | 'clear'>(
    members: readonly Member[],
    type: T,
    body: NodeMessages[T]['body'],
  ) => Promise<void>;
  readonly close: () => void;
}
