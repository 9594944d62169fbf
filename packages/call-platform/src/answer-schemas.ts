import { createListSchema } from '@laburnumshift/check-lists';
import { z } from 'zod';

const versionSchema = z.number().int().min(0);

/** Schemas of the response bodies of the platform. */
export const ANSWER_SCHEMAS = {
  object: z.object({
    kind: z.string(),
    name: z.string(),
    version: versionSchema.min(1),
    value: z.json(),
    changeId: z.string().optional(),
  }),
  version: z.object({ version: versionSchema }),
  page: z.object({
    items: createListSchema(z.object({ name: z.string(), version: versionSchema, value: z.json() })),
    revision: versionSchema,
    next: z.string().optional(),
  }),
  changes: z.object({
    revision: versionSchema,
    events: createListSchema(z.object({ name: z.string(), version: versionSchema, value: z.json() })),
  }),
  hosts: z.object({
    hosts: createListSchema(
      z.object({
        host: z.string().min(1),
        kind: z.enum(['node', 'engine', 'store', 'service']),
        failureDomain: z.string(),
        state: z.enum(['live', 'leaving']),
        address: z.string().optional(),
      }),
    ),
  }),
};
