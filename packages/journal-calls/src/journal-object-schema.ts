import { z } from 'zod';
import { RECORD_SCHEMA } from './record-schema.js';

/** Value of the object `journal/SHARD.SEQ`. */
export const JOURNAL_OBJECT_SCHEMA = z.object({ sealed: z.boolean(), records: z.array(RECORD_SCHEMA) });
