import { isDeepStrictEqual } from 'node:util';
import type { ObjectChange, StoredObject } from '@laburnumshift/forward-types';
import { splitRevision } from '@laburnumshift/order-revisions';
import { RESTORED_STATES } from './restored-states.js';
import type { RestorePolicy } from './restore-policy.js';

const NO_POLICY: RestorePolicy = {};

/**
 * Lists the removed, added and updated objects between a copy and a complete new list; removals come first. Objects that are known from
 * before a restore of the store are compared by their content and the policy, because the list may have an older state of them.
 *
 * @param revision of the list
 */
export function diffObjects(
  known: ReadonlyMap<string, StoredObject>,
  listed: readonly StoredObject[],
  revision: number,
  { isOlder = () => false, keepsMissing = false }: RestorePolicy = NO_POLICY,
): ObjectChange[] {
  const { era } = splitRevision(revision);
  const isFromEarlierEra = (object: StoredObject): boolean => splitRevision(object.revision).era < era;
  const names = new Set(listed.map((object) => object.name));
  const removed = [...known.values()].filter(
    (object) => !names.has(object.name) && !(keepsMissing && isFromEarlierEra(object)),
  );
  const changed = listed.filter((object) => {
    const before = known.get(object.name);
    if (before === undefined) return true;
    if (object.revision <= before.revision) return false;
    if (!isFromEarlierEra(before)) return true;
    const isSame =
      isDeepStrictEqual(before.spec, object.spec) && isDeepStrictEqual(before.status, object.status);
    return !isSame && !isOlder(object, before, RESTORED_STATES.listed);
  });
  return [
    ...removed.map((object) => ({ isRemoved: true, object })),
    ...changed.map((object) => ({ isRemoved: false, object })),
  ];
}
