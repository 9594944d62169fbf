import { z } from 'zod';

/** Value of the object `lease/NAME`. An empty holder means that the lease was released. */
export const LEASE_VALUE_SCHEMA = z.object({
  holder: z.string(),
  fencing: z.number().int().nonnegative(),
  /** For people only: wall-clock milliseconds. No decision depends on it. */
  expiresAt: z.number(),
  incarnation: z.number(),
});
