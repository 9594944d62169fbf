import type { NodeSettings } from '@laburnumshift/types';
import { z } from 'zod';
import { splitAddress } from './split-address.js';

const UNSPECIFIED = new Set(['0.0.0.0', '::']);
const addressSchema = z
  .string()
  .refine((text) => splitAddress(text) !== undefined, 'must be IP:port, e.g. 10.0.0.5:7000');
const countSchema = z.number().int().min(1);
const durationSchema = z.number().int().min(0);

/**
 * Settings of a daemon with their defaults. The platform budgets are shares of 400 writes and 2,000 reads a second for 8
 * nodes. Two journal shards with a write every 80 ms make 25 writes a second, and 25 deletions later: one for 20
 * bookings at 1,000 bookings a second.
 */
export const SETTINGS_SCHEMA: z.ZodType<NodeSettings> = z.strictObject({
  host: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/, 'must be a host name'),
  failureDomain: z.string().min(1),
  callers: addressSchema.default('0.0.0.0:8080'),
  operators: addressSchema.default('127.0.0.1:8081'),
  mesh: addressSchema.refine(
    (text) => !UNSPECIFIED.has(splitAddress(text)?.ip ?? ''),
    'must name the IP address at which other nodes reach this one',
  ),
  platformUrl: z.url({ protocol: /^https?$/, error: 'must be a URL with http or https' }),
  seeds: z.array(addressSchema).default([]),
  meshSecret: z.string().min(16, 'must have at least 16 characters'),
  operatorToken: z.string().min(16, 'must have at least 16 characters').optional(),
  tls: z.strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) }).optional(),
  limits: z
    .strictObject({
      maxBodyBytes: countSchema.default(8_388_608),
      maxHeaderBytes: countSchema.default(16_384),
      maxConnections: countSchema.default(10_000),
      maxBufferedBytes: countSchema.default(1_048_576),
    })
    .prefault({}),
  platform: z
    .strictObject({ writesPerSecond: countSchema.default(50), readsPerSecond: countSchema.default(250) })
    .prefault({}),
  journal: z
    .strictObject({
      shards: countSchema.max(1024).default(2),
      retentionMs: countSchema.default(7_200_000),
      minWriteIntervalMs: durationSchema.default(80),
    })
    .prefault({}),
  shutdown: z
    .strictObject({ balancerDelayMs: durationSchema.default(5000), drainMs: durationSchema.default(60_000) })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
});
