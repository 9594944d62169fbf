import type { BackendEntry, EngineControl } from '@laburnumshift/forward-types';
import type { ServerCrash } from './server-crash.js';
import type { SuspectSharingOptions } from './suspect-sharing-options.js';

/** Dependencies of the quarantine of one host. */
export interface CrashQuarantineOptions extends Omit<SuspectSharingOptions, 'table'> {
  readonly probeServer: EngineControl['probeServer'];
  /** True when a server has announced that it is leaving; its end is no crash. */
  readonly isLeaving: (server: BackendEntry) => boolean;
  /** Called with each confirmed crash of a server on which this host had calls. */
  readonly onCrash: (crash: ServerCrash) => void;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly pickRandom: () => number;
}
