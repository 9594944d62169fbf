import type { PlacementWeights, Priority, ServiceConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ENTITY_SCHEMAS } from './entity-schemas.js';

const DEFAULT_DEADLINES_MS: Readonly<Record<Priority, number>> = {
  urgent: 2000,
  normal: 15_000,
  bulk: 300_000,
};
/**
 * Default placement weights. Recomputing 1,000 tokens takes an engine about 100 ms. The weights of urgent services favour a
 * short time to the first token, those of bulk services little recomputation.
 */
const DEFAULT_WEIGHTS: Readonly<Record<Priority, PlacementWeights>> = {
  urgent: { perMs: 4, perKiloTokenRecomputed: 20, perMebibyteMoved: 0.02 },
  normal: { perMs: 1, perKiloTokenRecomputed: 50, perMebibyteMoved: 0.05 },
  bulk: { perMs: 0.1, perKiloTokenRecomputed: 100, perMebibyteMoved: 0.1 },
};

const weightSchema = z.number().min(0).optional();
const membersSchema = z.strictObject({
  name: ENTITY_SCHEMAS.name.describe('Name of the service, as callers send it.'),
  kind: z
    .enum(['model', 'plain'])
    .default('model')
    .describe(
      '`model` for completions on engines, `plain` for calls that are passed to a business application.',
    ),
  priority: z
    .enum(['urgent', 'normal', 'bulk'])
    .default('normal')
    .describe('Priority in the queue of a cell; also selects the defaults of `deadlineMs` and `weights`.'),
  idempotent: z
    .boolean()
    .optional()
    .describe(
      'Whether a call may be repeated. A model service is always idempotent; a plain service is not unless it says so.',
    ),
  accounts: z
    .union([z.literal('*'), z.array(ENTITY_SCHEMAS.name).min(1)], "must be '*' or a list of account names")
    .default('*')
    .describe('Client accounts that may call the service.'),
  model: ENTITY_SCHEMAS.modelName.optional().describe('Model of a model service; the pool must run it.'),
  adapter: ENTITY_SCHEMAS.modelName.optional().describe('Adapter of the model.'),
  deadlineMs: ENTITY_SCHEMAS.count
    .max(3_600_000)
    .optional()
    .describe(
      'Longest time to the first token or answer, milliseconds; 2,000 for urgent, 15,000 for normal and 300,000 for bulk by default.',
    ),
  weights: z
    .strictObject({
      perMs: weightSchema.describe(
        'Cost of a millisecond of estimated time to the first token; 4, 1 or 0.1 by priority.',
      ),
      perKiloTokenRecomputed: weightSchema.describe(
        'Cost of 1,000 prompt tokens that are computed again; 20, 50 or 100 by priority.',
      ),
      perMebibyteMoved: weightSchema.describe(
        'Cost of a mebibyte that is moved over a store link; 0.02, 0.05 or 0.1 by priority.',
      ),
    })
    .prefault({}),
  retry: z
    .strictObject({
      ratio: ENTITY_SCHEMAS.share.default(0.1).describe('Retries for each first attempt.'),
      minPerSecond: z.number().min(0).default(1).describe('Retries a second that are always permitted.'),
      maxAttempts: ENTITY_SCHEMAS.count.max(10).default(3).describe('Attempts for one request.'),
    })
    .prefault({}),
  cutover: z
    .strictObject({
      olderUrl: ENTITY_SCHEMAS.url.describe('URL of the older system.'),
      olderShare: ENTITY_SCHEMAS.share.describe(
        'Share of the traffic that the older system takes, from 0 to 1.',
      ),
    })
    .optional(),
  pool: ENTITY_SCHEMAS.name.optional().describe('Pool of all accounts for which no route says otherwise.'),
});

/**
 * Schema of a declared service; `pool` is the pool of its shorthand route. A plain service is non-idempotent unless its
 * declaration sets `idempotent`.
 */
export const SERVICE_SCHEMA: z.ZodType<{
  readonly service: ServiceConfig;
  readonly pool: string | undefined;
}> = membersSchema.transform(({ pool, ...service }) => {
  const defaults = DEFAULT_WEIGHTS[service.priority];
  const { weights } = service;
  return {
    pool,
    service: {
      ...service,
      idempotent: service.idempotent ?? service.kind === 'model',
      deadlineMs: service.deadlineMs ?? DEFAULT_DEADLINES_MS[service.priority],
      weights: {
        perMs: weights.perMs ?? defaults.perMs,
        perKiloTokenRecomputed: weights.perKiloTokenRecomputed ?? defaults.perKiloTokenRecomputed,
        perMebibyteMoved: weights.perMebibyteMoved ?? defaults.perMebibyteMoved,
      },
    },
  };
});
