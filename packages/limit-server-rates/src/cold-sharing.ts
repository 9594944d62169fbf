import type { BackendEntry } from '@laburnumshift/forward-types';

/** Exchange of cold servers with other hosts. */
export interface ColdSharing {
  /** Tells the other hosts, or in large fleets the relays, that a server stated to stay cold for `coldMs` milliseconds. */
  readonly sendCold: (server: Pick<BackendEntry, 'id' | 'bornMs'>, coldMs: number) => void;
  readonly close: () => void;
}
