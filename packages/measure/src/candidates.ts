import { BASELINES, placeRequest } from '@laburnumshift/place-request';
import type { PlacementPolicy } from '@laburnumshift/place-request';
import type { RetentionRule } from './retention-rule.js';
import { RETENTION_RULES } from './retention-rules.js';

/** What is compared, by name. Every candidate runs behind the same admission queue. */
export const CANDIDATES: Readonly<
  Record<string, { readonly policy: PlacementPolicy; readonly retention: RetentionRule }>
> = {
  own: { policy: placeRequest, retention: RETENTION_RULES['by-return'] },
  'own placement, keep-all-lru': { policy: placeRequest, retention: RETENTION_RULES['keep-all-lru'] },
  ...Object.fromEntries(
    Object.entries(BASELINES).flatMap(([name, policy]) => [
      [`${name}, keep-none`, { policy, retention: RETENTION_RULES['keep-none'] }],
      [`${name}, keep-all-lru`, { policy, retention: RETENTION_RULES['keep-all-lru'] }],
    ]),
  ),
};
