import { z } from 'zod';

/** Value of the platform object `lease/NAME`. An empty holder means that the lease was released. */
export const LEASE_VALUE_SCHEMA = z.object({
  holder: z.string(),
  fencing: z.number().int().nonnegative(),
  /** Wall-clock milliseconds, for display only. No decision depends on it. */
  expiresAt: z.number(),
  incarnation: z.number(),
});
