import type { MessageKind } from './message-kind.js';

/** Message between hosts: a tuple of the kind and of elements that depend on the kind. */
export type HostMessage = readonly [kind: MessageKind, ...rest: readonly unknown[]];
