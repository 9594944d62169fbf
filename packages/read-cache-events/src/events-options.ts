import type { EngineControl } from '@laburnumshift/forward-types';
import type { EngineBoard } from '@laburnumshift/track-engines';

/** Options of the reader of cache events. */
export interface EventsOptions {
  readonly control: Pick<EngineControl, 'readEvents'>;
  readonly board: Pick<EngineBoard, 'getPieces'>;
}
