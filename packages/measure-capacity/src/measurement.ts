import type { Series } from './series.js';

/** A measurement that can be run by name. */
export interface Measurement {
  readonly description: string;
  readonly run: (seed: number) => readonly Series[] | Promise<readonly Series[]>;
}
