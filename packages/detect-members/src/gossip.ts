import type { z } from 'zod';
import type { GOSSIP_SCHEMA } from './gossip-schema.js';

/** Body and reply of the membership messages, as in `GOSSIP_SCHEMA`. */
export type Gossip = z.infer<typeof GOSSIP_SCHEMA>;
