import type { RelayedChanges } from '@laburnumshift/forward-types';
import type { RelayPage } from './relay-page.js';

/** Decodes the platform objects of a page by kind; `undefined` for kinds whose changes the relay does not know. */
export function decodeObjects(
  objects: RelayPage['objects'],
): ReadonlyMap<string, RelayedChanges | undefined> {
  return new Map(
    Object.entries(objects).map(([kind, known]) => [
      kind,
      known === null ? undefined : { ...known, recoveredMs: known.recoveredMs ?? Infinity },
    ]),
  );
}
