import type { AccountConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ENTITY_SCHEMAS } from './entity-schemas.js';

const timeSchema = z.iso
  .datetime({ offset: true, error: 'must be a time such as 2026-01-31T00:00:00Z' })
  .transform((text) => Date.parse(text));
const keySchema = z
  .strictObject({
    sha256: z
      .string()
      .regex(
        /^[0-9a-f]{64}$/,
        'must be the SHA-256 hash of the key, 64 lower-case hexadecimal digits; never the key itself',
      )
      .describe('SHA-256 hash of the bearer key, 64 lower-case hexadecimal digits; never the key itself.'),
    notBefore: timeSchema.optional().describe('Time from which the key is valid.'),
    notAfter: timeSchema.optional().describe('Time until which the key is valid.'),
  })
  .refine(
    (key) => key.notBefore === undefined || key.notAfter === undefined || key.notBefore < key.notAfter,
    {
      path: ['notAfter'],
      error: 'must be later than notBefore',
    },
  );

/** Schema of a declared client account. The default limits suit one of about ten accounts of a deployment. */
export const ACCOUNT_SCHEMA: z.ZodType<AccountConfig> = z.strictObject({
  name: ENTITY_SCHEMAS.name.describe('Name of the client account.'),
  keys: z
    .array(keySchema)
    .min(1, 'an account needs at least one key')
    .describe('Keys of the account; several are valid at once while one replaces another.'),
  weight: ENTITY_SCHEMAS.positive
    .max(1000)
    .default(1)
    .describe('Share of the engines under contention, relative to the other accounts.'),
  limits: z
    .strictObject({
      requestsPerSecond: ENTITY_SCHEMAS.positive.default(100).describe('Requests a second over all nodes.'),
      tokensPerSecond: ENTITY_SCHEMAS.positive
        .default(200_000)
        .describe('Prompt and output tokens a second over all nodes.'),
      concurrent: ENTITY_SCHEMAS.count.default(100).describe('Requests in progress at once over all nodes.'),
    })
    .prefault({}),
  storeBytes: z
    .number()
    .int()
    .min(0)
    .default(1e12)
    .describe('Bytes that the account may hold in the stores of a pool.'),
});
