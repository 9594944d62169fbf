import type { z } from 'zod';
import type { RECORD_SCHEMA } from './record-schema.js';

/** A change of a call's state, as stored in the journal. */
export type JournalRecord = z.infer<typeof RECORD_SCHEMA>;
