import { z } from 'zod';

const COMMON = { id: z.string(), attemptId: z.string(), at: z.number() };

/** A journal record. `id` is the hash of account, service and key; `at` the wall-clock time of writing. */
export const RECORD_SCHEMA = z.discriminatedUnion('type', [
  z.object({
    ...COMMON,
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
    ...COMMON,
    type: z.literal('finished'),
    answer: z.object({ status: z.number(), headers: z.record(z.string(), z.string()), body: z.string() }),
  }),
  z.object({ ...COMMON, type: z.literal('unknown') }),
  z.object({ ...COMMON, type: z.literal('abandoned') }),
]);
