/** UDP datagrams between hosts. */
export type { HostChannel } from './host-channel.js';
export type { HostMessage } from './host-message.js';
export type { MessageKind } from './message-kind.js';
export { MESSAGE_KINDS } from './message-kinds.js';
export { openHostChannel } from './open-host-channel.js';
