import type { EngineControl } from '@laburnumshift/forward-types';
import type { EventsReader } from '@laburnumshift/read-cache-events';
import type { ServerTracker } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Options of the planner of piece fetches and saves. */
export interface KeeperOptions {
  readonly serverTracker: Pick<ServerTracker, 'getPieceTable' | 'countCachedTokens'>;
  readonly events: Pick<EventsReader, 'isReading' | 'getBootId' | 'readClockMs'>;
  readonly fleet: Pick<FleetView, 'findNextWeights' | 'getWeightsAgeMs'>;
  readonly control: Pick<EngineControl, 'freePieces'>;
}
