import type { EngineControl } from '@laburnumshift/forward-types';
import type { CacheEventReader } from '@laburnumshift/read-cache-events';
import type { ServerTracker } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Options of the planner of piece fetches and saves. */
export interface PieceTransferPlannerOptions {
  readonly serverTracker: Pick<ServerTracker, 'getPieceTable' | 'countCachedTokens'>;
  readonly events: Pick<CacheEventReader, 'isReading' | 'getBootId' | 'readClockMs'>;
  readonly fleet: Pick<FleetView, 'findNextWeights' | 'getWeightsAgeMs'>;
  readonly control: Pick<EngineControl, 'freePieces'>;
}
