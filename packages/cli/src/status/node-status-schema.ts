import { z } from 'zod';

const countSchema = z.number().catch(0);
const textSchema = z.string().catch('?');
const flagSchema = z.boolean().catch(false);
const listSchema = <T extends z.ZodType>(item: T) => z.array(item).catch([]);

const engineSchema = z.object({
  name: textSchema,
  usable: flagSchema,
  leaving: flagSchema,
  weightVersion: textSchema,
  running: countSchema,
  slots: countSchema,
  queueMs: countSchema,
  estimateError: countSchema,
});
const storeSchema = z.object({
  name: textSchema,
  usable: flagSchema,
  linkQueueMs: countSchema,
  bytesPerSecond: countSchema,
  exportsWaiting: countSchema,
});
const cellSchema = z.object({
  pool: textSchema,
  cell: countSchema,
  engines: listSchema(engineSchema),
  stores: listSchema(storeSchema),
  queue: z.record(z.string(), z.number()).catch({}),
});

/**
 * Status that a node reports. A node that did not respond has `unreachable`, the reason. Missing members and members with
 * another shape are replaced by empty values, so that `status` works while a rolling restart mixes releases.
 */
export const NODE_STATUS_SCHEMA = z.object({
  host: textSchema,
  unreachable: z.string().optional().catch(undefined),
  failureDomain: textSchema,
  generation: z.number().optional().catch(undefined),
  stale: flagSchema,
  members: listSchema(textSchema),
  platformSilenceMs: countSchema,
  runs: z.record(z.string(), z.number()).catch({}),
  cells: listSchema(cellSchema),
  cellHomes: listSchema(textSchema),
  leases: listSchema(z.object({ pool: textSchema, fencing: countSchema })),
  services: listSchema(z.object({ name: textSchema, usable: flagSchema, queue: countSchema })),
  leaving: listSchema(textSchema),
});
