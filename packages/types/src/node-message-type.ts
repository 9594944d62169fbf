import type { NodeMessages } from './node-messages.js';

/** Name of a node message. */
export type NodeMessageType = keyof NodeMessages;
