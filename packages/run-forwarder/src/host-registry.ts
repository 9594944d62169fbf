import type { PeerHost } from '@laburnumshift/share-load';
import type { ObjectCopy } from '@laburnumshift/watch-objects';

/** Registration of this host, and a copy of the registrations of the others. */
export interface HostRegistry extends Pick<ObjectCopy, 'readChangesSince' | 'readState'> {
  /** Returns the other registered hosts; some of them may have stopped. */
  readonly listPeers: () => readonly PeerHost[];
  /** Resolves when the hosts have been listed for the first time. */
  readonly whenListed: Promise<void>;
  /** Ends the watch and further attempts to register. The registration stays in the store. */
  readonly close: () => void;
}
