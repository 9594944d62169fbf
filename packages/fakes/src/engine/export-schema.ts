import { z } from 'zod';

/** Checks the body of an export order. Without `bytes` the size of the cached block counts. */
export const exportSchema = z.object({
  scope: z.string(),
  chain: z.string(),
  url: z.string(),
  key: z.string(),
  tier: z.enum(['memory', 'disk']).default('memory'),
  bytes: z.number().positive().optional(),
});
