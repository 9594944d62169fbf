import { z } from 'zod';

/** Schema of a frame. A reply has `replyTo`, the id of its request; a reply with `failed` has an error text as its body. */
export const FRAME_SCHEMA = z.object({
  id: z.number().int().nonnegative(),
  type: z.string().min(1).max(64),
  replyTo: z.number().int().nonnegative().optional(),
  failed: z.boolean().optional(),
  body: z.unknown(),
});
