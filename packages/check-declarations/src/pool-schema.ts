import type { PoolConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ENTITY_SCHEMAS } from './entity-schemas.js';

/** KV cache of one token of a mid-size model in 16-bit precision, bytes. */
const TOKEN_BYTES = 131_072;

const placeShape = {
  name: ENTITY_SCHEMAS.hostName,
  url: ENTITY_SCHEMAS.url,
  failureDomain: z.string().min(1),
};
const serverSchema = z.strictObject({
  ...placeShape,
  checksFencing: z.boolean().default(false),
  slots: ENTITY_SCHEMAS.count.default(8),
  prefillTokensPerSecond: ENTITY_SCHEMAS.positive.default(8000),
  decodeTokensPerSecond: ENTITY_SCHEMAS.positive.default(40),
  role: ENTITY_SCHEMAS.modelName.optional(),
});
const storeSchema = z.strictObject({
  ...placeShape,
  memoryBytes: z.number().int().min(0).default(64e9),
  diskBytes: z.number().int().min(0).default(1e12),
  linkBytesPerSecond: ENTITY_SCHEMAS.positive.default(1.25e9),
  diskBytesPerSecond: ENTITY_SCHEMAS.positive.default(5e8),
});

/** A pool as declared. */
export const POOL_SCHEMA: z.ZodType<PoolConfig> = z
  .strictObject({
    name: ENTITY_SCHEMAS.name,
    kind: z.enum(['model', 'plain']).default('model'),
    servers: z.array(serverSchema).min(1, 'a pool needs at least one server'),
    stores: z.array(storeSchema).default([]),
    model: ENTITY_SCHEMAS.modelName.optional(),
    weightVersion: ENTITY_SCHEMAS.modelName.optional(),
    adapters: z.array(ENTITY_SCHEMAS.modelName).default([]),
    pieceTokens: ENTITY_SCHEMAS.count.max(100_000).default(2000),
    pieceBytes: ENTITY_SCHEMAS.count.optional(),
    urgentSlots: z.number().int().min(0).default(1),
  })
  .transform((pool) => ({ ...pool, pieceBytes: pool.pieceBytes ?? pool.pieceTokens * TOKEN_BYTES }));
