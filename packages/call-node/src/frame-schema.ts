import { z } from 'zod';

/** Shape of every frame. `replyTo` marks replies; `failed` marks replies whose body is an error text. */
export const FRAME_SCHEMA = z.object({
  id: z.number().int().nonnegative(),
  type: z.string().min(1).max(64),
  replyTo: z.number().int().nonnegative().optional(),
  failed: z.boolean().optional(),
  body: z.unknown(),
});
