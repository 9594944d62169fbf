import { z } from 'zod';

/** Body of a completion request; other fields are ignored. */
export const COMPLETION_BODY_SCHEMA = z.object({
  prompt: z.string(),
  max_tokens: z.number().int().positive().max(100_000),
  request_id: z.string(),
  resume_offset: z.number().int().nonnegative().optional(),
});
