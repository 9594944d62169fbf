import { createListSchema } from '@laburnumshift/check-lists';
import { REFUSAL_CAUSES } from '@laburnumshift/choose-server';
import * as z from 'zod';

const count = z.number().nonnegative();
const addresses = createListSchema(z.string().nullable());

/**
 * Body of an answer datagram. In the datagram it follows the message kind, the sending host, the start time of its process and the
 * number of the placement request.
 */
export const ANSWER_SCHEMA = z.union([
  z.tuple([
    z.literal('server'),
    z.string().describe('server'),
    count.describe('start of the server process, wall-clock milliseconds'),
    count.describe('uncached tokens'),
    count.describe('queued tokens'),
    count.describe('expected milliseconds'),
    count.nullable().describe('share of memory'),
    z.tuple([z.string(), count]).nullable().describe('source and tokens of the largest fetch'),
    z
      .tuple([
        addresses.describe('fetch from'),
        addresses.describe('save to'),
        count.nullable().describe('fetch until'),
      ])
      .nullable(),
    count.nullable().describe('weight version'),
  ]),
  z.tuple([
    z.literal('refuse'),
    z.enum(REFUSAL_CAUSES).describe('cause'),
    z.string().describe('reason'),
    count.describe('retry after, milliseconds'),
  ]),
  z.tuple([z.literal('wait')]),
  z.tuple([z.literal('unready')]),
]);
