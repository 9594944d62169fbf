import { z } from 'zod';

/** Schema of the identity that each side sends first. `instance` identifies one mesh of one process. */
export const IDENTITY_SCHEMA = z.object({
  address: z.string().min(3).max(128),
  instance: z.string().min(8).max(64),
  nonce: z.string().min(32).max(128),
});
