import type { RelayPlan } from '@laburnumshift/share-load';

/** Whether a host with this plan places calls: in large fleets the homes do, the first relays of the failure domains. */
export function isPlacingHost({ isRelayed, upstream }: RelayPlan): boolean {
  return !isRelayed || upstream === undefined;
}
