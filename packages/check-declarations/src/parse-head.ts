import type { ConfigHead } from '@laburnumshift/types';
import { z } from 'zod';

const headSchema: z.ZodType<ConfigHead> = z.object({
  generation: z.number().int().min(1),
  changeId: z.string(),
  author: z.string(),
  publishedAtMs: z.number(),
  segments: z.record(z.string(), z.string()),
});

/** Validates a head read from the platform or a peer and drops unknown members; `undefined` when it is invalid. */
export function parseHead(value: unknown): ConfigHead | undefined {
  return headSchema.safeParse(value).data;
}
