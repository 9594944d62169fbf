import type { z } from 'zod';
import type { RECORD_SCHEMA } from './record-schema.js';

/** What a node knows of a member, as sent to others. */
export type MemberRecord = z.infer<typeof RECORD_SCHEMA>;
