import type { EngineControl } from '@laburnumshift/forward-types';
import type { EngineBoard } from '@laburnumshift/track-engines';

/** Options of the relay of cache events. */
export interface RelayOptions {
  readonly control: Pick<EngineControl, 'readEvents'>;
  readonly board: Pick<EngineBoard, 'getPieces'>;
  /** `IP:port` where other hosts of the failure domain read. */
  readonly address: string;
  /** Address of the host to follow; `undefined` when this one reads itself. */
  readonly getUpstream: () => string | undefined;
}
