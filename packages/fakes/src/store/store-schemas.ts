import { z } from 'zod';

/** Bodies of the requests to the fake store. */
export const STORE_SCHEMAS = {
  commit: z.object({ generation: z.number().int(), length: z.number().int(), checksum: z.string() }),
  pin: z.object({ ttlMs: z.number().positive() }),
  move: z.object({ tier: z.enum(['memory', 'disk']) }),
} as const;
