import type { z } from 'zod';
import type { NODE_STATUS_SCHEMA } from './node-status-schema.js';

/** The parsed status of one node. */
export type NodeStatus = z.infer<typeof NODE_STATUS_SCHEMA>;
