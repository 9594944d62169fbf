import { createListSchema } from '@laburnumshift/check-lists';
import * as z from 'zod';

const count = z.number().nonnegative();

/**
 * Body of a placement request datagram. In the datagram it follows the message kind, the sending host, the start time of its process and
 * the number of the placement request.
 */
export const PLACEMENT_REQUEST_SCHEMA = z.tuple([
  z.string().describe('call'),
  z.string().describe('service'),
  z
    .tuple([
      z.string().describe('model'),
      count.describe('input tokens'),
      count.describe('maximum output tokens'),
      count.nullable().describe('expected output tokens'),
      createListSchema(z.tuple([z.string(), count])).describe('pieces'),
    ])
    .nullable()
    .describe('prompt'),
  z.string().describe('owner of the cached pieces'),
  count.describe('priority'),
  count.describe('target time to first token, milliseconds'),
  z.number().describe('time until the deadline, milliseconds'),
  count.describe('time waited so far, milliseconds'),
  count.describe('body size, bytes'),
  z.string().describe('failure domain'),
  z.boolean().describe('whether the call was sent before'),
  createListSchema(z.string()).describe('ids of excluded servers'),
  count.optional().describe('time at a server of usual speed, milliseconds; absent when unknown'),
]);
