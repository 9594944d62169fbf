import type { RelayedChanges } from '@laburnumshift/forward-types';
import type { RelayPage } from './relay-page.js';

/** Encodes the changes of each wanted kind after its revision; `null` for kinds whose changes or age this host does not know. */
export function encodeObjects(
  wanted: readonly (readonly [string, number])[],
  readObjects: (kind: string, after: number) => RelayedChanges | undefined,
): RelayPage['objects'] {
  const encodeKind = (kind: string, after: number): RelayPage['objects'][string] => {
    const known = readObjects(kind, after);
    if (known === undefined) return null;
    const { changes, recoveredMs, ageMs, ...rest } = known;
    if (!Number.isFinite(ageMs)) return null;
    return {
      ...rest,
      changes: [...changes],
      ageMs,
      recoveredMs: Number.isFinite(recoveredMs) ? recoveredMs : null,
    };
  };
  return Object.fromEntries(wanted.map(([kind, after]) => [kind, encodeKind(kind, after)]));
}
