import type { BoundedMap } from './bounded-map.js';
import type { SuspectEntry } from './suspect-entry.js';

/** Suspects and convictions on a node, by fingerprint. The end of a conviction, `untilMs`, is wall time in milliseconds. */
export interface QuarantineTables {
  readonly suspects: BoundedMap<SuspectEntry>;
  readonly convictions: BoundedMap<{ readonly untilMs: number; readonly version?: number | undefined }>;
}
