import type { Line } from './line.js';
import type { Series } from './series.js';

/** The result of one measurement, as written to files. */
export interface CapacityResult {
  readonly command: string;
  readonly measurement: string;
  readonly seed: number;
  /** Commit of the measured code; says so when the checkout has changes. */
  readonly commit: string;
  readonly series: readonly (Series & { readonly line: Line })[];
}
