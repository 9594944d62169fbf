import type { MESSAGE_KINDS } from './message-kinds.js';

/** What the loads of a datagram cover. */
export type MessageKind = (typeof MESSAGE_KINDS)[keyof typeof MESSAGE_KINDS];
