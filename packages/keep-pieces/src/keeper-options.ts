import type { EngineControl } from '@laburnumshift/forward-types';
import type { EventsReader } from '@laburnumshift/read-cache-events';
import type { EngineBoard } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Options of the planner of piece fetches and saves. */
export interface KeeperOptions {
  readonly board: Pick<EngineBoard, 'getPieces' | 'countLocal'>;
  readonly events: Pick<EventsReader, 'isReading' | 'getBootId' | 'readClockMs'>;
  readonly fleet: Pick<FleetView, 'findSuccessor' | 'getWeightsAgeMs'>;
  readonly control: Pick<EngineControl, 'freePieces'>;
}
