import type { PoolConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ENTITY_SCHEMAS } from './entity-schemas.js';

/** KV cache size of one token of a mid-size model in 16-bit precision, bytes. */
const CACHE_BYTES_PER_TOKEN = 131_072;

const hostMembers = {
  name: ENTITY_SCHEMAS.hostName.describe('Host name, as in the host list of the platform.'),
  url: ENTITY_SCHEMAS.url.describe('URL of the server or store.'),
  failureDomain: z.string().min(1).describe('Failure domain of the host.'),
};
const serverSchema = z.strictObject({
  ...hostMembers,
  checksFencing: z
    .boolean()
    .default(false)
    .describe('Whether the engine refuses orders with an old fencing number.'),
  slots: ENTITY_SCHEMAS.count.default(8).describe('Requests that the server runs at once.'),
  prefillTokensPerSecond: ENTITY_SCHEMAS.positive
    .default(8000)
    .describe('Prompt tokens that an idle engine computes a second; corrected by what is observed.'),
  decodeTokensPerSecond: ENTITY_SCHEMAS.positive
    .default(40)
    .describe('Output tokens of one request a second; corrected by what is observed.'),
  role: ENTITY_SCHEMAS.modelName
    .optional()
    .describe('Role that the engine is ordered to take; as it is when absent.'),
});
const storeSchema = z.strictObject({
  ...hostMembers,
  memoryBytes: z.number().int().min(0).default(64e9).describe('Memory of the store, bytes.'),
  diskBytes: z.number().int().min(0).default(1e12).describe('Disk of the store, bytes.'),
  linkBytesPerSecond: ENTITY_SCHEMAS.positive
    .default(1.25e9)
    .describe('Rate of the link of the store, bytes a second; corrected by what is observed.'),
  diskBytesPerSecond: ENTITY_SCHEMAS.positive
    .default(5e8)
    .describe('Rate of the disk of the store, bytes a second.'),
});

/** Schema of a declared pool; `pieceBytes` is derived from `pieceTokens` when absent. */
export const POOL_SCHEMA: z.ZodType<PoolConfig> = z
  .strictObject({
    name: ENTITY_SCHEMAS.name.describe('Name of the pool.'),
    kind: z
      .enum(['model', 'plain'])
      .default('model')
      .describe('`model` for engines, `plain` for business applications.'),
    servers: z
      .array(serverSchema)
      .min(1, 'a pool needs at least one server')
      .describe('Backend servers of the pool.'),
    stores: z.array(storeSchema).default([]).describe('Store hosts of a model pool.'),
    model: ENTITY_SCHEMAS.modelName.optional().describe('Model that the engines run.'),
    weightVersion: ENTITY_SCHEMAS.modelName
      .optional()
      .describe('Weight version that the engines run; a change rolls it out.'),
    adapters: z.array(ENTITY_SCHEMAS.modelName).default([]).describe('Adapters that the engines load.'),
    pieceTokens: ENTITY_SCHEMAS.count.max(100_000).default(2000).describe('Tokens of a piece of the cache.'),
    pieceBytes: ENTITY_SCHEMAS.count
      .optional()
      .describe('Bytes of a piece; 131,072 for each token by default.'),
    urgentSlots: z
      .number()
      .int()
      .min(0)
      .default(1)
      .describe('Slots of each engine that are kept for urgent requests.'),
  })
  .transform((pool) => ({
    ...pool,
    pieceBytes: pool.pieceBytes ?? pool.pieceTokens * CACHE_BYTES_PER_TOKEN,
  }));
