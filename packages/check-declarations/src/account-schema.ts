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
      ),
    notBefore: timeSchema.optional(),
    notAfter: timeSchema.optional(),
  })
  .refine(
    (key) => key.notBefore === undefined || key.notAfter === undefined || key.notBefore < key.notAfter,
    {
      path: ['notAfter'],
      error: 'must be later than notBefore',
    },
  );

/** A client account as declared. The limits suit one of about ten accounts of a deployment. */
export const ACCOUNT_SCHEMA: z.ZodType<AccountConfig> = z.strictObject({
  name: ENTITY_SCHEMAS.name,
  keys: z.array(keySchema).min(1, 'an account needs at least one key'),
  weight: ENTITY_SCHEMAS.positive.max(1000).default(1),
  limits: z
    .strictObject({
      requestsPerSecond: ENTITY_SCHEMAS.positive.default(100),
      tokensPerSecond: ENTITY_SCHEMAS.positive.default(200_000),
      concurrent: ENTITY_SCHEMAS.count.default(100),
    })
    .prefault({}),
  storeBytes: z.number().int().min(0).default(1e12),
});
