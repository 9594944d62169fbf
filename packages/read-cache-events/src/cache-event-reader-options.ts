import type { EngineControl } from '@laburnumshift/forward-types';
import type { ServerTracker } from '@laburnumshift/track-engines';
import type { CacheChange } from './cache-change.js';

/** Options of `readCacheEvents`. */
export interface CacheEventReaderOptions {
  readonly control: Pick<EngineControl, 'readEvents'>;
  readonly serverTracker: Pick<ServerTracker, 'getPieceTable'>;
  /** Receives each change after it was applied to the table of pieces. */
  readonly onChange?: (change: CacheChange) => void;
}
