import type { DaemonFigures } from './daemon-figures.js';

/** The result of one scenario, as written to files. */
export interface DaemonResult {
  readonly command: string;
  readonly scenario: string;
  readonly seed: number;
  /** Commit of the measured code; says so when the checkout has changes. */
  readonly commit: string;
  readonly figures: DaemonFigures;
}
