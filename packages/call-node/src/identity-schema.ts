import { z } from 'zod';

/** What each side says of itself at the start of a link. `instance` names one mesh of one process. */
export const IDENTITY_SCHEMA = z.object({
  address: z.string().min(3).max(128),
  instance: z.string().min(8).max(64),
  nonce: z.string().min(32).max(128),
});
