import { z } from 'zod';
import { RECORD_SCHEMA } from './record-schema.js';

/** Largest number of records in a message. Replies to joining nodes are the largest messages. */
const MAX_RECORDS = 128;

/** Body and reply of the messages `probe` and `probe-for`. The first record is that of the sender. */
export const GOSSIP_SCHEMA = z.object({
  records: z.array(RECORD_SCHEMA).min(1).max(MAX_RECORDS),
  /** Set by a node that knows few members, to get more of them in the reply. */
  join: z.boolean().optional(),
  /** Mesh address to probe, in the body of `probe-for`. */
  target: z.string().max(128).optional(),
  /** Host that answered the probe, in replies to `probe-for`. */
  reached: z.string().max(128).optional(),
});
