import { z } from 'zod';

const text = z.string().min(1).max(512);

/** Body of `journal-begin`. */
export const BEGIN_SCHEMA = z.object({
  account: text,
  service: text,
  key: text,
  bodyHash: text,
  attemptId: text,
  node: text,
  incarnation: z.number(),
  system: z.enum(['own', 'older']),
  issuedAtMs: z.number(),
  waitMs: z.number().min(0).max(600_000),
});
