import type { MESSAGE_KINDS } from './message-kinds.js';

/** Number of a message kind, the first element of each message. */
export type MessageKind = (typeof MESSAGE_KINDS)[keyof typeof MESSAGE_KINDS];
