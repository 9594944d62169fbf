import { z } from 'zod';

/** Schema of a cache piece in the responses of a store; the key is `SCOPE:CHAIN`. */
export const pieceSchema = z.object({
  key: z.string().regex(/^[^:]+:[^:]+$/),
  tier: z.enum(['memory', 'disk']),
  generation: z.number().int(),
  length: z.number().int().min(0),
  checksum: z.string(),
  bytes: z.number().min(0),
});
