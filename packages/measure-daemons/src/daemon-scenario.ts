import type { DaemonFigures } from './daemon-figures.js';

/** A measurement over real daemons that can be run by name. */
export interface DaemonScenario {
  readonly description: string;
  readonly run: (seed: number) => Promise<DaemonFigures>;
}
