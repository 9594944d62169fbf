import type { PlacementWeights, Priority, ServiceConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ENTITY_SCHEMAS } from './entity-schemas.js';

const DEADLINES_MS: Readonly<Record<Priority, number>> = { urgent: 2000, normal: 15_000, bulk: 300_000 };
/** A recomputed kilotoken costs an engine about 100 ms; urgent services pay for time, bulk services for recomputation. */
const WEIGHTS: Readonly<Record<Priority, PlacementWeights>> = {
  urgent: { perMs: 4, perKiloTokenRecomputed: 20, perMebibyteMoved: 0.02 },
  normal: { perMs: 1, perKiloTokenRecomputed: 50, perMebibyteMoved: 0.05 },
  bulk: { perMs: 0.1, perKiloTokenRecomputed: 100, perMebibyteMoved: 0.1 },
};

const weightSchema = z.number().min(0).optional();
const shape = z.strictObject({
  name: ENTITY_SCHEMAS.name,
  kind: z.enum(['model', 'plain']).default('model'),
  priority: z.enum(['urgent', 'normal', 'bulk']).default('normal'),
  idempotent: z.boolean().optional(),
  accounts: z
    .union([z.literal('*'), z.array(ENTITY_SCHEMAS.name).min(1)], "must be '*' or a list of account names")
    .default('*'),
  model: ENTITY_SCHEMAS.modelName.optional(),
  adapter: ENTITY_SCHEMAS.modelName.optional(),
  deadlineMs: ENTITY_SCHEMAS.count.max(3_600_000).optional(),
  weights: z
    .strictObject({
      perMs: weightSchema,
      perKiloTokenRecomputed: weightSchema,
      perMebibyteMoved: weightSchema,
    })
    .prefault({}),
  retry: z
    .strictObject({
      ratio: ENTITY_SCHEMAS.share.default(0.1),
      minPerSecond: z.number().min(0).default(1),
      maxAttempts: ENTITY_SCHEMAS.count.max(10).default(3),
    })
    .prefault({}),
  cutover: z.strictObject({ olderUrl: ENTITY_SCHEMAS.url, olderShare: ENTITY_SCHEMAS.share }).optional(),
  /** Shorthand for a route of all accounts to this pool. */
  pool: ENTITY_SCHEMAS.name.optional(),
});

/** A service as declared, with the pool of the shorthand route. A plain service is non-idempotent unless it says so. */
export const SERVICE_SCHEMA: z.ZodType<{
  readonly service: ServiceConfig;
  readonly pool: string | undefined;
}> = shape.transform(({ pool, ...service }) => {
  const base = WEIGHTS[service.priority];
  const { weights } = service;
  return {
    pool,
    service: {
      ...service,
      idempotent: service.idempotent ?? service.kind === 'model',
      deadlineMs: service.deadlineMs ?? DEADLINES_MS[service.priority],
      weights: {
        perMs: weights.perMs ?? base.perMs,
        perKiloTokenRecomputed: weights.perKiloTokenRecomputed ?? base.perKiloTokenRecomputed,
        perMebibyteMoved: weights.perMebibyteMoved ?? base.perMebibyteMoved,
      },
    },
  };
});
