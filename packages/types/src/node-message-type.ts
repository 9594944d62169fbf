import type { NodeMessages } from './node-messages.js';

/** Name of a message type between nodes. */
export type NodeMessageType = keyof NodeMessages;
