import { createListSchema } from '@laburnumshift/check-lists';
import { z } from 'zod';

const count = z.number().min(0);

/** Schemas of the response bodies of an engine. */
export const ENGINE_SCHEMAS = {
  load: z.object({
    boot_id: z.string().min(1),
    at: z.number(),
    weight_version: z.string(),
    adapters: createListSchema(z.string()),
    role: z.string(),
    leaving: z.boolean(),
    loading: z.boolean(),
    running: count,
    queued_tokens: count,
    running_tokens: count,
    slots: count,
    other_share: count.max(1),
    last_fencing: z.number().int(),
  }),
  pieces: z.object({
    seq: count,
    pieces: createListSchema(z.object({ scope: z.string(), chain: z.string() })),
  }),
  exported: z.object({ length: count, checksum: z.string().min(1), generation: z.number().int() }),
} as const;
