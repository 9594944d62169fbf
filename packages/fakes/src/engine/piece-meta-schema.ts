import { z } from 'zod';

/** Answer of a store to a pin or a meta request. */
export const pieceMetaSchema = z.object({
  generation: z.number(),
  length: z.number(),
  checksum: z.string(),
  bytes: z.number(),
  weight_version: z.string(),
});
