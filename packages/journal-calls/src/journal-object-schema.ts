import { createListSchema } from '@laburnumshift/check-lists';
import { z } from 'zod';
import { RECORD_SCHEMA } from './record-schema.js';

/**
 * Value of the platform object `journal/SHARD.SEQ`. Only the unsealed object at the end of the chain, the tail,
 * receives new records.
 */
export const JOURNAL_OBJECT_SCHEMA = z.object({
  sealed: z.boolean(),
  records: createListSchema(RECORD_SCHEMA),
});
