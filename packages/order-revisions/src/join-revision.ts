import { REVISIONS_PER_ERA } from './revisions-per-era.js';
import type { StoreRevision } from './store-revision.js';

/** Returns a number that orders revisions by their era first. Without an era it equals the revision. */
export function joinRevision({ era, revision }: StoreRevision): number {
  return era * REVISIONS_PER_ERA + revision;
}
