import { z } from 'zod';

/**
 * Member record as sent between nodes. `refutation` counts the suspicions that the process has refuted; records are ordered by
 * incarnation, then by refutation. `ageMs` is the age of a suspicion in milliseconds, so that it ends on all nodes at the same
 * time.
 */
export const RECORD_SCHEMA = z.object({
  host: z.string().min(1).max(128),
  incarnation: z.number().int(),
  refutation: z.number().int().nonnegative(),
  state: z.enum(['alive', 'suspect', 'dead', 'left']),
  address: z.string().min(3).max(128),
  failureDomain: z.string().max(128),
  ageMs: z.number().int().nonnegative(),
});
