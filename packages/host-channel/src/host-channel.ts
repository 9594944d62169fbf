import type { HostMessage } from './host-message.js';
import type { MessageKind } from './message-kind.js';

/** Channel for UDP datagrams between hosts. Datagrams can be lost, delayed and reordered. */
export interface HostChannel {
  /** `IP:port` to which the socket is bound. */
  readonly address: string;
  /** Sends a message to each address, `IP:port`. Does nothing after `close`; failures to send are logged. */
  readonly sendMessage: (addresses: readonly string[], message: HostMessage) => void;
  /**
   * Sets the handler of a message kind and replaces an earlier one.
   *
   * @param handler receives the message and the `IP:port` of the sender; returns false when the message is malformed
   */
  readonly handleMessages: (
    kind: MessageKind,
    handler: (message: readonly unknown[], from: string) => boolean,
  ) => void;
  /** Number of datagrams that could not be decoded, had no handler, or were rejected by their handler. */
  readonly countMalformed: () => number;
  readonly close: () => void;
}
