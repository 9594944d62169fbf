import type { HostPeer } from '@laburnumshift/share-load';

/** The other hosts. */
export interface HostTable {
  /** Each other host that registered; some may be gone. */
  readonly listPeers: () => readonly HostPeer[];
  /** Resolves when the hosts were listed for the first time. */
  readonly known: Promise<void>;
  readonly close: () => void;
}
