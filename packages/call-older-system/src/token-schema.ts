import { z } from 'zod';

/** Schema of a token in a completion stream of the older system. */
export const TOKEN_SCHEMA = z.object({
  id: z.string(),
  weight_version: z.string(),
  offset: z.number().int().nonnegative(),
  text: z.string(),
  cached_pieces: z.number(),
  imported_pieces: z.number(),
  computed_tokens: z.number(),
  finish_reason: z.enum(['stop', 'length']).nullable(),
});
