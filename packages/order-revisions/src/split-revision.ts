import { REVISIONS_PER_ERA } from './revisions-per-era.js';
import type { StoreRevision } from './store-revision.js';

/** Returns the era and the revision that `joinRevision` joined. */
export function splitRevision(joined: number): StoreRevision {
  return { era: Math.floor(joined / REVISIONS_PER_ERA), revision: joined % REVISIONS_PER_ERA };
}
