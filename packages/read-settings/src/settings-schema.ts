import type { NodeSettings } from '@laburnumshift/types';
import { z } from 'zod';
import { splitAddress } from './split-address.js';

const UNSPECIFIED_ADDRESSES = new Set(['0.0.0.0', '::']);
const addressSchema = z
  .string()
  .refine((text) => splitAddress(text) !== undefined, 'must be IP:port, e.g. 10.0.0.5:7000');
const countSchema = z.number().int().min(1);
const durationSchema = z.number().int().min(0);

/**
 * Schema of the settings of a daemon, with defaults. The default platform limits of a node are an eighth of 400 writes and
 * 2,000 reads per second, for 8 nodes. Two journal shards that each write every 80 ms make 25 writes per second, and later
 * 25 deletions per second; at 1,000 bookings per second, that is one write or deletion for 20 bookings.
 */
export const SETTINGS_SCHEMA: z.ZodType<NodeSettings> = z.strictObject({
  host: z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/, 'must be a host name')
    .describe('Name of this node, as in the host list of the platform; unique among the nodes.'),
  failureDomain: z
    .string()
    .min(1)
    .describe('Failure domain of the host; watchers of the configuration are spread over the domains.'),
  callers: addressSchema
    .default('0.0.0.0:8080')
    .describe('Address for callers, `IP:port`; port 0 takes a free one.'),
  operators: addressSchema
    .default('127.0.0.1:8081')
    .describe('Address for operators and for the health checks of the load balancer.'),
  mesh: addressSchema
    .refine(
      (text) => !UNSPECIFIED_ADDRESSES.has(splitAddress(text)?.ip ?? ''),
      'must name the IP address at which other nodes reach this one',
    )
    .describe('Address at which the other nodes reach this one, `IP:port`; not an unspecified address.'),
  platformUrl: z
    .url({ protocol: /^http$/, error: 'must be a URL with http' })
    .describe('URL of the object API of the platform.'),
  seeds: z
    .array(addressSchema)
    .default([])
    .describe(
      'Mesh addresses of other nodes to try while the host list is not known, for example when the platform is down at start.',
    ),
  meshSecret: z
    .string()
    .min(16, 'must have at least 16 characters')
    .describe('Shared secret with which the nodes authenticate each other; the same on all nodes.'),
  operatorToken: z
    .string()
    .min(16, 'must have at least 16 characters')
    .optional()
    .describe('Bearer token of operators. Without it the operator port serves loopback callers only.'),
  tls: z
    .strictObject({
      certFile: z
        .string()
        .min(1)
        .describe(
          'Certificate in PEM format, for callers and for the links between nodes; also the trust anchor of those links.',
        ),
      keyFile: z.string().min(1).describe('Private key in PEM format.'),
    })
    .optional(),
  limits: z
    .strictObject({
      maxBodyBytes: countSchema.default(8_388_608).describe('Largest request body of a caller, bytes.'),
      maxHeaderBytes: countSchema.default(16_384).describe('Largest request head of a caller, bytes.'),
      maxConnections: countSchema
        .default(10_000)
        .describe('Connections of callers; more are closed at once.'),
      maxBufferedBytes: countSchema
        .default(1_048_576)
        .describe('Output that is held for one caller that reads slowly, bytes.'),
    })
    .prefault({}),
  platform: z
    .strictObject({
      writesPerSecond: countSchema
        .default(50)
        .describe('Writes to the platform a second, at most; all nodes together must stay below its rate.'),
      readsPerSecond: countSchema
        .default(250)
        .describe('Reads from the platform a second, at most; a waiting watch counts as one.'),
    })
    .prefault({}),
  journal: z
    .strictObject({
      shards: countSchema
        .max(1024)
        .default(2)
        .describe('Shards of the journal of non-idempotent calls; the same on all nodes at all times.'),
      retentionMs: countSchema
        .default(7_200_000)
        .describe('How long the journal keeps the records of a call, milliseconds; older keys are refused.'),
      minWriteIntervalMs: durationSchema
        .default(80)
        .describe('Shortest time between two writes of a shard under load, milliseconds.'),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      balancerDelayMs: durationSchema
        .default(5000)
        .describe(
          'Time between the end of readiness and the first refusal in a shutdown, milliseconds; longer than the load balancer takes to notice.',
        ),
      drainMs: durationSchema
        .default(60_000)
        .describe('Longest time to finish requests in a shutdown, milliseconds; what is left then is cut.'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Least severe level that is logged.'),
    })
    .prefault({}),
});
