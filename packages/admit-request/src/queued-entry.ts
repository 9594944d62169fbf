import type { AdmissionEntry } from './admission-entry.js';

/** A queued entry with the times of its arrival and of its caller's last poll, in monotonic milliseconds. */
export interface QueuedEntry {
  readonly entry: AdmissionEntry;
  readonly addedAtMs: number;
  lastPolledAtMs: number;
}
