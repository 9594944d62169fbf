import { createListSchema } from '@laburnumshift/check-lists';
import { z } from 'zod';

/** Request of the page that explains where a call would go. */
export const EXPLAIN_SCHEMA = z.object({
  method: z.string().min(1).default('POST'),
  target: z.string().startsWith('/', 'does not start with a slash'),
  hostName: z.string().min(1),
  headers: createListSchema(z.tuple([z.string().min(1), z.string()])).default([]),
  bodyBytes: z.number().int().nonnegative().default(0),
});
