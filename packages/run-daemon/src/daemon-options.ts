import type { Logger } from '@laburnumshift/logger';
import type { HeldSignals } from './held-signals.js';
import type { RunningDaemon } from './running-daemon.js';

/** What `runDaemon` runs. */
export interface DaemonOptions {
  readonly signals: HeldSignals;
  readonly logger: Logger;
  /** Starts the daemon. A stop signal during the start aborts `stopSignal`; a start that ends for it may resolve or reject. */
  readonly start: (stopSignal: AbortSignal) => Promise<RunningDaemon>;
}
