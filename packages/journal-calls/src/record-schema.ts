import { createRecordSchema } from '@laburnumshift/check-lists';
import { z } from 'zod';

const COMMON_FIELDS = { id: z.string(), attemptId: z.string(), at: z.number() };

/**
 * A journal record. `id` is the hash of account, service and key. `at` is the wall-clock time of writing, milliseconds
 * since the epoch.
 */
export const RECORD_SCHEMA = z.discriminatedUnion('type', [
  z.object({
    ...COMMON_FIELDS,
    type: z.literal('started'),
    account: z.string(),
    service: z.string(),
    key: z.string(),
    bodyHash: z.string(),
    node: z.string(),
    incarnation: z.number(),
    system: z.enum(['own', 'older']),
  }),
  z.object({
    ...COMMON_FIELDS,
    type: z.literal('finished'),
    answer: z.object({ status: z.number(), headers: createRecordSchema(z.string()), body: z.string() }),
  }),
  z.object({ ...COMMON_FIELDS, type: z.literal('unknown') }),
  z.object({ ...COMMON_FIELDS, type: z.literal('abandoned') }),
]);
