import { z } from 'zod';

/** Schema of the response body of `GET /load`. */
export const LOAD_SCHEMA = z.object({
  running: z.number(),
  queued: z.number(),
  leaving: z.boolean(),
  boot_id: z.string(),
});
