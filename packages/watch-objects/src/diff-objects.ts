import type { ObjectChange, StoredObject } from '@laburnumshift/forward-types';

/** Lists the removed, added and updated objects between a copy and a complete new list; removals come first. */
export function diffObjects(
  known: ReadonlyMap<string, StoredObject>,
  listed: readonly StoredObject[],
): ObjectChange[] {
  const names = new Set(listed.map((object) => object.name));
  const removed = [...known.values()].filter((object) => !names.has(object.name));
  const changed = listed.filter((object) => object.revision > (known.get(object.name)?.revision ?? 0));
  return [
    ...removed.map((object) => ({ isRemoved: true, object })),
    ...changed.map((object) => ({ isRemoved: false, object })),
  ];
}
