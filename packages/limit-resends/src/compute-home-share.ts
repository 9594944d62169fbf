import { RESEND_FRACTIONS } from './resend-fractions.js';
import type { ResendShare } from './resend-share.js';

/**
 * Computes the share of the fleet's resend budget that a home host uses for all hosts of its failure domain.
 *
 * @param hosts registered hosts of the fleet
 * @param hostsOfDomain registered hosts of the failure domain
 */
export function computeHomeShare(hosts: number, hostsOfDomain: number): ResendShare {
  return {
    ratio: RESEND_FRACTIONS.homes,
    slack: (RESEND_FRACTIONS.homes * hostsOfDomain) / Math.max(1, hosts),
  };
}
