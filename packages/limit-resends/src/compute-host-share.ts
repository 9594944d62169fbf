import type { ResendShare } from './resend-share.js';
import { RESEND_FRACTIONS } from './resend-fractions.js';

/**
 * Computes the share of the fleet's resend budget that one host uses. In fleets with home hosts it is for calls that the home host does
 * not place.
 *
 * @param hosts registered hosts including this one; while it is `undefined`, that is unknown, the share has no slack
 * @param hasHomes the fleet has home hosts
 */
export function computeHostShare(hosts: number | undefined, hasHomes: boolean): ResendShare {
  if (hosts === undefined) return { ratio: RESEND_FRACTIONS.hosts, slack: 0 };
  if (hasHomes) return { ratio: RESEND_FRACTIONS.hosts, slack: RESEND_FRACTIONS.hosts / hosts };
  return { ratio: RESEND_FRACTIONS.all, slack: RESEND_FRACTIONS.all / hosts };
}
