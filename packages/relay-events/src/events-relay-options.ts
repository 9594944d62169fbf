import type { EngineControl, RelayedChanges } from '@laburnumshift/forward-types';
import type { RelayedSource } from '@laburnumshift/relay-objects';
import type { ServerTracker } from '@laburnumshift/track-engines';

/** Options of `createEventsRelay`. */
export interface EventsRelayOptions {
  readonly control: Pick<EngineControl, 'readEvents'>;
  readonly serverTracker: Pick<ServerTracker, 'getPieceTable'>;
  /** `IP:port` on which this relay serves other hosts. */
  readonly address: string;
  /** Address of the host to read events and objects from; `undefined` when this host reads the engines itself. */
  readonly getUpstream: () => string | undefined;
  /** Address of the host to read only platform objects from, used without an upstream; returns `undefined` by default. */
  readonly getObjectsUpstream?: () => string | undefined;
  /** Source of platform objects that receives the objects of fetched pages. */
  readonly objects: Pick<
    RelayedSource,
    'listWantedKinds' | 'applyRelayedChanges' | 'stopFollowing' | 'isStoreDown' | 'probeStore'
  >;
  /** Whether this host uses cache events; otherwise it fetches platform objects only. True by default. */
  readonly wantsEvents?: () => boolean;
  /** Addresses of hosts that serve platform objects while the store does not answer this host; none by default. */
  readonly listBackups?: () => readonly string[];
  /** Returns the changes of a kind after a revision for hosts that follow this one; `undefined` when they are not known. */
  readonly readObjects: (kind: string, after: number) => RelayedChanges | undefined;
}
