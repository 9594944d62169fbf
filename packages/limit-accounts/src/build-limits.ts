import type { AccountLimits } from '@laburnumshift/types';

/** Builds account limits by calling a function for each of the three fields. */
export function buildLimits(compute: (field: keyof AccountLimits) => number): AccountLimits {
  return {
    requestsPerSecond: compute('requestsPerSecond'),
    tokensPerSecond: compute('tokensPerSecond'),
    concurrent: compute('concurrent'),
  };
}
