import type { AccountLimits } from '@laburnumshift/types';

/** Computes each of the three limits with one function. */
export function buildLimits(compute: (field: keyof AccountLimits) => number): AccountLimits {
  return {
    requestsPerSecond: compute('requestsPerSecond'),
    tokensPerSecond: compute('tokensPerSecond'),
    concurrent: compute('concurrent'),
  };
}
