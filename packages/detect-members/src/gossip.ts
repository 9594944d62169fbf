import type { z } from 'zod';
import type { GOSSIP_SCHEMA } from './gossip-schema.js';

/** Body and reply of the membership messages. */
export type Gossip = z.infer<typeof GOSSIP_SCHEMA>;
