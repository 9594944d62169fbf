import type { EngineControl, RelayedChanges } from '@laburnumshift/forward-types';
import type { RelayedSource } from '@laburnumshift/relay-objects';
import type { EngineBoard } from '@laburnumshift/track-engines';

/** Options of the relay of cache events. */
export interface RelayOptions {
  readonly control: Pick<EngineControl, 'readEvents'>;
  readonly board: Pick<EngineBoard, 'getPieces'>;
  /** `IP:port` where other hosts of the failure domain read. */
  readonly address: string;
  /** Address of the host to follow; `undefined` when this one reads itself. */
  readonly getUpstream: () => string | undefined;
  /** Platform objects that are followed with the events. */
  readonly objects: Pick<RelayedSource, 'listWanted' | 'applyAnswers' | 'stopFollowing'>;
  /** Changes of platform objects that this host knows, for those that follow it. */
  readonly readObjects: (kind: string, after: number) => RelayedChanges | undefined;
}
