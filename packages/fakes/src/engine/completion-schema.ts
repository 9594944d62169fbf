import { z } from 'zod';

/** Checks the body of a completion request. */
export const completionSchema = z.object({
  model: z.string(),
  adapter: z.string().optional(),
  prompt: z.string(),
  max_tokens: z.number().int().min(0),
  stream: z.literal(true),
  request_id: z.string(),
  priority: z.number().int().min(0).max(2),
  cache_scope: z.string(),
  weight_version: z.string(),
  pieces: z.array(z.object({ chain: z.string(), tokens: z.number().int().min(0) })),
  resume_offset: z.number().int().min(0),
  imports: z.array(
    z.object({
      index: z.number().int().min(0),
      chain: z.string(),
      url: z.string(),
      key: z.string(),
      generation: z.number(),
      length: z.number(),
      checksum: z.string(),
    }),
  ),
  head_pieces: z.number().int().min(0),
});
