import type { BoundedMap } from './bounded-map.js';
import type { SuspectEntry } from './suspect-entry.js';

/** Suspects and convictions that a node knows, by fingerprint. */
export interface SuspectTables {
  readonly suspects: BoundedMap<SuspectEntry>;
  readonly convictions: BoundedMap<{ readonly untilMs: number; readonly version?: number | undefined }>;
}
