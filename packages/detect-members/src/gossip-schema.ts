import { z } from 'zod';
import { RECORD_SCHEMA } from './record-schema.js';

/** Records that one message may carry; a reply to a joining node is the largest. */
const MAX_RECORDS = 128;

/** Body and reply of `probe` and `probe-for`. The first record is the sender's own. */
export const GOSSIP_SCHEMA = z.object({
  records: z.array(RECORD_SCHEMA).min(1).max(MAX_RECORDS),
  /** Set by a node that knows few members and asks for more. */
  join: z.boolean().optional(),
  /** Address to probe, in `probe-for`. */
  target: z.string().max(128).optional(),
  /** Host that answered, in replies to `probe-for`. */
  reached: z.string().max(128).optional(),
});
