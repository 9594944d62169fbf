import type { EngineControl } from '@laburnumshift/forward-types';
import type { EngineBoard } from '@laburnumshift/track-engines';
import type { ReadChange } from './read-change.js';

/** Options of the reader of cache events. */
export interface EventsOptions {
  readonly control: Pick<EngineControl, 'readEvents'>;
  readonly board: Pick<EngineBoard, 'getPieces'>;
  /** Receives what changed after it is in the board. */
  readonly onChange?: (change: ReadChange) => void;
}
