import { createListSchema, createRecordSchema } from '@laburnumshift/check-lists';
import type { NodeMessages, NodeMessageType } from '@laburnumshift/types';
import { PRIORITIES } from '@laburnumshift/types';
import { z } from 'zod';

const text = z.string().max(1024);
const name = text.min(1);
const count = z.number().min(0);
const time = z.number();
const journalCall = { account: name, service: name, key: name };
const journalAttempt = z.looseObject({ ...journalCall, attemptId: name });
const piece = z.looseObject({ chain: name, tokens: count });
const fingerprint = { fingerprint: name };

/**
 * Schema of the body of each message type. Unknown fields are accepted, because a newer version may add some. The bodies of
 * probes are validated by the membership protocol, which defines them.
 */
export const MESSAGE_SCHEMAS: { readonly [T in NodeMessageType]: z.ZodType<NodeMessages[T]['body']> } = {
  probe: z.unknown(),
  'probe-for': z.unknown(),
  place: z.looseObject({
    requestId: name,
    account: name,
    accountWeight: count,
    service: name,
    pool: name,
    cell: z.int().min(0),
    priority: z.enum(Object.keys(PRIORITIES) as (keyof typeof PRIORITIES)[]),
    ...fingerprint,
    suspect: z.boolean(),
    model: text,
    adapter: text.optional(),
    pieces: createListSchema(piece),
    maxTokens: count,
    remainingMs: time,
    waitMs: time,
    weights: z.looseObject({ perMs: count, perKiloTokenRecomputed: count, perMebibyteMoved: count }),
    exclude: createListSchema(text),
    weightVersion: text.optional(),
  }),
  'run-finished': z.looseObject({
    requestId: name,
    pool: name,
    cell: z.int().min(0),
    engine: name,
    ...fingerprint,
    result: z.enum(['finished', 'failed', 'cancelled']),
    firstTokenMs: time.optional(),
    estimateMs: time,
    weightVersion: text,
    cacheScope: text,
    service: name,
    account: name,
    pieces: createListSchema(piece),
    cachedPieces: count,
    importedPieces: count,
    computedTokens: count,
    outputTokens: count,
  }),
  'engine-failed': z.looseObject({
    pool: name,
    cell: z.int().min(0),
    engine: name,
    crashed: z.boolean(),
    bootId: text.optional(),
  }),
  share: z.looseObject({
    account: name,
    host: name,
    requestsPerSecond: count,
    tokensPerSecond: count,
    concurrent: count,
  }),
  'journal-begin': z.looseObject({
    ...journalCall,
    bodyHash: name,
    attemptId: name,
    node: name,
    incarnation: time,
    system: z.enum(['own', 'older']),
    issuedAtMs: time,
    waitMs: z.number().min(0).max(600_000),
  }),
  'journal-finish': journalAttempt.extend({
    answer: z.looseObject({
      status: z.int(),
      headers: createRecordSchema(z.string()),
      body: z.string(),
    }),
  }),
  'journal-abandon': journalAttempt,
  'journal-unknown': journalAttempt,
  'journal-look': z.looseObject({ ...journalCall, issuedAtMs: time.optional() }),
  'config-head': z.looseObject({ generation: z.int().min(0) }),
  'config-get': z.looseObject({ above: z.number(), partial: z.boolean().optional() }),
  hosts: createListSchema(
    z.looseObject({
      host: name,
      kind: z.enum(['node', 'engine', 'store', 'service']),
      failureDomain: text,
      state: z.enum(['live', 'leaving']),
      address: text.optional(),
    }),
  ),
  suspect: z.looseObject({
    ...fingerprint,
    engine: text,
    pool: text,
    atMs: time,
    claim: z.looseObject({ requestId: name, host: name, leaseMs: time }).optional(),
  }),
  convict: z.looseObject({ ...fingerprint, untilMs: time }),
  clear: z.looseObject(fingerprint),
  'suspect-claim': z.looseObject({ ...fingerprint, requestId: name, host: name }),
  'run-claim': z.looseObject({
    account: name,
    requestId: name,
    host: name,
    address: name,
    bodyHash: name,
    replaces: text.optional(),
  }),
  'run-attach': z.looseObject({ account: name, requestId: name, offset: count, waitMs: count }),
  status: z.null(),
  explain: z.looseObject({ requestId: name }),
};
