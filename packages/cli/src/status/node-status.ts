import type { z } from 'zod';
import type { NODE_STATUS_SCHEMA } from './node-status-schema.js';

/** The status of one node as `status` prints it. */
export type NodeStatus = z.infer<typeof NODE_STATUS_SCHEMA>;
