import type { z } from 'zod';
import type { RECORD_SCHEMA } from './record-schema.js';

/** State of a member as a node sends it to others, as in `RECORD_SCHEMA`. */
export type MemberRecord = z.infer<typeof RECORD_SCHEMA>;
