import type { AdmissionEntry } from './admission-entry.js';

/** An entry with its times. */
export interface Waiting {
  readonly entry: AdmissionEntry;
  readonly addedAtMs: number;
  askedAtMs: number;
}
