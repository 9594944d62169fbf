import type { z } from 'zod';
import type { RECORD_SCHEMA } from './record-schema.js';

/** A journal record. */
export type JournalRecord = z.infer<typeof RECORD_SCHEMA>;
